// Asks stand-in targets what they executed, and compares it with what callers
// were told.
#ifndef MARJORAMHALL_LAB_HTTP_LOAD_VERIFY_H_
#define MARJORAMHALL_LAB_HTTP_LOAD_VERIFY_H_

#include <string>
#include <vector>

#include "lab/http_load_report.h"
#include "src/base/endpoint.h"

namespace asio {
class io_context;
}

namespace marjoramhall::lab {

// Sends one request and returns the body of its answer, or nothing within five
// seconds. Runs `io` meanwhile.
std::string FetchBody(asio::io_context& io,
                      const Endpoint& from,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body);

// `controls`: one target's address of each process of targets. `not_run`: ids
// that callers were told did not run. Runs `io` meanwhile.
ExecutionReport VerifyExecutions(asio::io_context& io,
                                 const std::vector<Endpoint>& controls,
                                 const std::vector<std::string>& not_run);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_LOAD_VERIFY_H_

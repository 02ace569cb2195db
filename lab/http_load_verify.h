// Queries the stand-in targets for what they executed and compares it with what
// the VMs reported.
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

// Sends one request and returns the body of the response, or an empty string if
// none arrives within 5 s. Runs `io` while waiting.
std::string FetchBody(asio::io_context& io,
                      const Endpoint& from,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body);

// `targets` has the address of one target of each process that runs targets.
// `not_run` has the submission ids that were reported as not run. Runs `io`
// while waiting.
ExecutionReport VerifyExecutions(asio::io_context& io,
                                 const std::vector<Endpoint>& targets,
                                 const std::vector<std::string>& not_run);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_LOAD_VERIFY_H_

// The command line's side of the intent API.
#ifndef MARJORAMHALL_APP_OPERATOR_CLIENT_H_
#define MARJORAMHALL_APP_OPERATOR_CLIENT_H_

#include <optional>
#include <string>

#include "src/app/command.h"
#include "src/settings/settings.h"

namespace marjoramhall::app {

struct ApiAnswer {
  int status = 0;    // HTTP status; 0: no answer
  std::string body;  // JSON, or a reason when there is no answer
};

// The exit code for an answer.
int ExitCodeOf(const ApiAnswer& answer);

// Options that commands which talk to a VM have in common: --settings, --url,
// --token-file, --ca and --json.
class OperatorOptions {
 public:
  explicit OperatorOptions(TCLAP::CmdLineInterface& line);

  bool json() { return json_.getValue(); }

  // Reads the settings and secrets. Returns the exit code after reporting an
  // error.
  std::optional<int> Resolve(const Streams& streams);

  // Calls after Resolve(). Each opens a connection and waits up to 20 s.
  ApiAnswer Get(const std::string& path) const;
  ApiAnswer Post(const std::string& path, const std::string& body) const;

 private:
  ApiAnswer Call(const std::string& method,
                 const std::string& path,
                 const std::string& body) const;

  TCLAP::ValueArg<std::string> settings_;
  TCLAP::ValueArg<std::string> url_arg_;
  TCLAP::ValueArg<std::string> token_file_;
  TCLAP::ValueArg<std::string> ca_arg_;
  TCLAP::SwitchArg json_;
  std::string url_;
  std::string ca_;
  settings::Secret token_;
};

// Writes the reasons of a refusal or failure to `err`, or the whole answer to
// `out` as JSON. Returns the exit code.
int ReportFailure(const ApiAnswer& answer, bool json, const Streams& streams);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_OPERATOR_CLIENT_H_

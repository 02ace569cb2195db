// Client of the operator API for the commands that talk to a VM.
#ifndef MARJORAMHALL_APP_OPERATOR_CLIENT_H_
#define MARJORAMHALL_APP_OPERATOR_CLIENT_H_

#include <optional>
#include <string>

#include "src/app/command.h"
#include "src/settings/settings.h"

namespace marjoramhall::app {

struct ApiAnswer {
  int status = 0;    // HTTP status; 0 without an answer
  std::string body;  // JSON, or the reason why there is no answer
};

int ExitCodeOf(const ApiAnswer& answer);

// Options that all commands that talk to a VM share: --settings, --url,
// --token-file, --ca and --json.
class OperatorOptions {
 public:
  explicit OperatorOptions(TCLAP::CmdLineInterface& line);

  bool json() { return json_arg_.getValue(); }

  // Reads the settings and secrets. Reports errors and then returns an exit
  // code.
  std::optional<int> Resolve(const Streams& streams);

  // Call these after Resolve(). Each opens a connection, with a limit of 5 s,
  // and waits up to 20 s for the answer.
  ApiAnswer Get(const std::string& path) const;
  ApiAnswer Post(const std::string& path, const std::string& body) const;

 private:
  ApiAnswer Call(const std::string& method,
                 const std::string& path,
                 const std::string& body) const;

  TCLAP::ValueArg<std::string> settings_arg_;
  TCLAP::ValueArg<std::string> url_arg_;
  TCLAP::ValueArg<std::string> token_file_arg_;
  TCLAP::ValueArg<std::string> ca_arg_;
  TCLAP::SwitchArg json_arg_;
  std::string url_;
  std::string ca_path_;
  settings::Secret token_;
};

// Writes the reasons of a refusal or failure to `err`, or the whole answer to
// `out` as JSON. Returns the exit code.
int ReportFailure(const ApiAnswer& answer, bool json, const Streams& streams);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_OPERATOR_CLIENT_H_

// Implements the HTTP calls to a VM.
#include "src/app/operator_client.h"

#include <nlohmann/json.hpp>

#include "src/net/http_library.h"
#include "src/settings/load.h"

namespace marjoramhall::app {
namespace {

using Json = nlohmann::json;

// Returns an address to connect to: loopback for a VM that listens on all
// addresses.
Endpoint ConnectAddress(Endpoint listen) {
  if (listen.address == IpAddress{} || listen.address == IpAddress::FromV4(0)) {
    listen.address = IpAddress::FromV4(0x7f000001);
  }
  return listen;
}

std::string TrimSpace(const std::string& text) {
  const size_t start = text.find_first_not_of(" \t\r\n");
  if (start == std::string::npos) {
    return "";
  }
  return text.substr(start, text.find_last_not_of(" \t\r\n") - start + 1);
}

}  // namespace

int ExitCodeOf(const ApiAnswer& answer) {
  switch (answer.status) {
    case 0:
      return kExitUnreachable;
    case 200:
      return kExitOk;
    case 400:
    case 413:
      return kExitUsage;
    case 401:
    case 409:
      return kExitRefused;
    default:
      return kExitFailed;
  }
}

OperatorOptions::OperatorOptions(TCLAP::CmdLineInterface& line)
    : settings_arg_("s",
                    "settings",
                    "settings file of the VM, for its address, token and "
                    "certificate (default: the default loopback address)",
                    false,
                    "",
                    "FILE",
                    line),
      url_arg_("u",
               "url",
               "URL of the VM's operator API, such as https://10.0.0.1:7071; "
               "overrides the settings",
               false,
               "",
               "URL",
               line),
      token_file_arg_("t",
                      "token-file",
                      "file with the bearer token; overrides the settings",
                      false,
                      "",
                      "FILE",
                      line),
      ca_arg_(
          "c",
          "ca",
          "PEM file with the trusted certificates for the VM; overrides the "
          "settings",
          false,
          "",
          "FILE",
          line),
      json_arg_("j", "json", "print the answer as JSON", line) {}

std::optional<int> OperatorOptions::Resolve(const Streams& streams) {
  settings::Settings values;
  if (settings_arg_.isSet()) {
    auto loaded = settings::Load(settings_arg_.getValue());
    for (const auto& it : loaded.errors) {
      streams.err << it.Text() << "\n";
    }
    if (!loaded.errors.empty()) {
      return kExitUsage;
    }
    values = std::move(loaded.settings);
  }
  const bool tls = !values.operators.tls_certificate.empty();
  url_ = url_arg_.isSet()
             ? url_arg_.getValue()
             : (tls ? "https://" : "http://") +
                   ConnectAddress(values.operators.listen).ToString();
  ca_path_ = ca_arg_.isSet() ? ca_arg_.getValue()
                             : values.operators.tls_certificate.string();
  token_ = values.operators.token;
  if (token_file_arg_.isSet()) {
    const auto content = settings::ReadFileFromDisk(token_file_arg_.getValue());
    if (!content) {
      streams.err << "marjoramhall: cannot read token file "
                  << token_file_arg_.getValue() << "\n";
      return kExitUsage;
    }
    token_ = settings::Secret(TrimSpace(*content));
  }
  if (!url_.starts_with("http://") && !url_.starts_with("https://")) {
    streams.err << "marjoramhall: --url must start with http:// or https://\n";
    return kExitUsage;
  }
  return std::nullopt;
}

ApiAnswer OperatorOptions::Get(const std::string& path) const {
  return Call("GET", path, "");
}

ApiAnswer OperatorOptions::Post(const std::string& path,
                                const std::string& body) const {
  return Call("POST", path, body);
}

ApiAnswer OperatorOptions::Call(const std::string& method,
                                const std::string& path,
                                const std::string& body) const {
  httplib::Client client(url_);
  if (!client.is_valid()) {
    return {0, "invalid URL: " + url_};
  }
  client.set_connection_timeout(std::chrono::seconds(5));
  client.set_read_timeout(std::chrono::seconds(20));
  if (!token_.empty()) {
    client.set_bearer_token_auth(token_.Reveal());
  }
  if (!ca_path_.empty()) {
    client.set_ca_cert_path(ca_path_);
  }
  const auto result = method == "GET"
                          ? client.Get(path)
                          : client.Post(path, body, "application/json");
  if (result) {
    return {result->status, result->body};
  }
  const std::string reason = httplib::to_string(result.error());
  if (result.error() == httplib::Error::Read && method == "POST") {
    return {0, url_ + " did not answer (" + reason +
                   "); the request may have taken effect"};
  }
  return {0, url_ + " cannot be reached (" + reason + ")"};
}

int ReportFailure(const ApiAnswer& answer, bool json, const Streams& streams) {
  const int code = ExitCodeOf(answer);
  const Json parsed = Json::parse(answer.body, nullptr, false);
  if (json) {
    const Json shown =
        parsed.is_object()
            ? parsed
            : Json{{"outcome", answer.status == 0 ? "unreachable" : "failed"},
                   {"reasons", {answer.body}}};
    streams.out << shown.dump() << "\n";
    return code;
  }
  if (!parsed.is_object()) {
    streams.err << "marjoramhall: " << answer.body << "\n";
    return code;
  }
  streams.err << "marjoramhall: " << parsed.value("outcome", "failed") << "\n";
  for (const Json& it : parsed.value("reasons", Json::array())) {
    if (it.is_string()) {
      streams.err << "  " << it.get<std::string>() << "\n";
    }
  }
  return code;
}

}  // namespace marjoramhall::app

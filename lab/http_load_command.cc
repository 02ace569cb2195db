// Command line of http-load.
#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>

#include <tclap/CmdLine.h>
#include <asio/io_context.hpp>

#include "lab/http_commands.h"
#include "lab/http_load.h"
#include "lab/http_load_verify.h"

namespace marjoramhall::lab {
namespace {

constexpr double kMaxRate = 100'000;
constexpr double kMaxSeconds = 3600;
constexpr size_t kMaxBodyBytes = size_t{1} << 30;

struct LoadConfig {
  LoadOptions options;
  std::vector<Endpoint> targets;
};

[[noreturn]] void ThrowArgumentError(const std::string& text,
                                     const std::string& argument) {
  throw TCLAP::ArgException(text, argument);
}

double ParseNumber(const std::string& text, const std::string& argument) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || value < 0) {
    ThrowArgumentError("not a number: " + text, argument);
  }
  return value;
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> out;
  size_t start = 0;
  while (start <= text.size()) {
    const size_t end = std::min(text.find(separator, start), text.size());
    out.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return out;
}

std::vector<Endpoint> ParseLoopbackEndpoints(
    const std::vector<std::string>& list,
    const std::string& argument) {
  std::vector<Endpoint> out;
  for (const std::string& text : list) {
    const auto it = Endpoint::Parse(text);
    if (!it || ((it->address.ToV4() >> 24) != 127 &&
                it->address != IpAddress::Parse("::1"))) {
      ThrowArgumentError("not a loopback address: " + text, argument);
    }
    out.push_back(*it);
  }
  return out;
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

void SetField(LoadKind& kind,
              const std::string& name,
              const std::string& value) {
  const auto number = [&] { return ParseNumber(value, "kind " + name); };
  if (name == "name") {
    kind.name = value;
  } else if (name == "host") {
    kind.host = value;
  } else if (name == "service") {
    kind.service = value;
  } else if (name == "method") {
    kind.method = value;
  } else if (name == "path") {
    kind.path = value;
  } else if (name == "share") {
    kind.share = number();
  } else if (name == "keyed") {
    kind.keyed = value == "1";
  } else if (name == "body") {
    kind.body_bytes = std::min(static_cast<size_t>(number()), kMaxBodyBytes);
  } else if (name == "answer") {
    kind.answer_bytes = std::min(static_cast<size_t>(number()), kMaxBodyBytes);
  } else if (name == "work-us") {
    kind.service_time = Duration(static_cast<int64_t>(number()));
  } else if (name == "timeout-ms") {
    kind.timeout = FromSeconds(number() / 1000);
  } else {
    ThrowArgumentError("unknown field " + name, "kind");
  }
}

LoadKind ParseKind(const std::string& text) {
  LoadKind kind;
  for (const std::string& part : Split(text, ',')) {
    const size_t equals = part.find('=');
    if (equals == std::string::npos) {
      ThrowArgumentError("expected NAME=VALUE, got " + part, "kind");
    }
    SetField(kind, part.substr(0, equals), part.substr(equals + 1));
  }
  return kind;
}

std::vector<std::pair<Duration, double>> ParseProfile(const std::string& text) {
  std::vector<std::pair<Duration, double>> out;
  for (const std::string& part : Split(text, ',')) {
    const size_t colon = part.find(':');
    if (colon == std::string::npos) {
      ThrowArgumentError("expected SECONDS:FACTOR, got " + part, "profile");
    }
    out.emplace_back(FromSeconds(ParseNumber(part.substr(0, colon), "profile")),
                     ParseNumber(part.substr(colon + 1), "profile"));
  }
  return out;
}

LoadConfig ParseLoad(std::span<const std::string> args) {
  TCLAP::CmdLine cmd("load generator for HTTP/2 requests");
  cmd.setExceptionHandling(false);
  using Number = TCLAP::ValueArg<double>;
  using Text = TCLAP::ValueArg<std::string>;
  using Count = TCLAP::ValueArg<int>;
  TCLAP::MultiArg<std::string> vm("", "vm", "request address of a VM", true,
                                  "127.0.0.1:PORT", cmd);
  TCLAP::MultiArg<std::string> kind(
      "", "kind",
      "NAME=VALUE,... of name, host, service, method, path, share, keyed, "
      "body, answer, work-us, timeout-ms",
      true, "FIELDS", cmd);
  TCLAP::MultiArg<std::string> targets(
      "", "targets",
      "address of one target per target process, to verify executions", false,
      "127.0.0.1:PORT", cmd);
  Number requests_per_second("", "rate", "requests per second", false, 100, "N",
                             cmd);
  Number seconds("", "duration-s", "duration in which requests start", false, 5,
                 "S", cmd);
  Text rate_profile("", "profile", "factor on the rate from each start time",
                    false, "", "S:X,...", cmd);
  Count connections_per_vm("", "connections", "per VM", false, 4, "N", cmd);
  Count max_resubmits("", "resubmits", "per request", false, 2, "N", cmd);
  Number wait("", "max-retry-wait-ms",
              "upper bound of the retry-after that is honored", false, 1000,
              "MS", cmd);
  Text caller("", "caller", "value of x-caller-id", false, "lab", "ID", cmd);
  Count seed("", "seed", "random seed", false, 1, "N", cmd);
  std::vector<std::string> argv = {"http-load"};
  argv.insert(argv.end(), args.begin(), args.end());
  cmd.parse(argv);

  LoadConfig out;
  out.options.vms = ParseLoopbackEndpoints(vm.getValue(), "vm");
  out.targets = ParseLoopbackEndpoints(targets.getValue(), "targets");
  for (const std::string& it : kind.getValue()) {
    out.options.kinds.push_back(ParseKind(it));
  }
  if (!(requests_per_second.getValue() > 0 &&
        requests_per_second.getValue() <= kMaxRate) ||
      !(seconds.getValue() > 0 && seconds.getValue() <= kMaxSeconds)) {
    ThrowArgumentError(
        "out of range (rate up to 100000, duration-s up to 3600)", "rate");
  }
  out.options.requests_per_second = requests_per_second.getValue();
  out.options.run_time = FromSeconds(seconds.getValue());
  if (!rate_profile.getValue().empty()) {
    out.options.rate_profile = ParseProfile(rate_profile.getValue());
  }
  out.options.connections_per_vm =
      static_cast<size_t>(std::clamp(connections_per_vm.getValue(), 1, 2000));
  out.options.max_resubmits =
      static_cast<uint32_t>(std::clamp(max_resubmits.getValue(), 0, 100));
  out.options.max_retry_wait = FromSeconds(wait.getValue() / 1000);
  out.options.caller = caller.getValue();
  out.options.seed = static_cast<uint64_t>(seed.getValue());
  return out;
}

int Run(const LoadConfig& config) {
  asio::io_context io;
  LoadGenerator load(io, config.options);
  bool done = false;
  load.Start([&] { done = true; });
  while (!done) {
    io.restart();
    io.run_for(std::chrono::milliseconds(100));
  }
  LoadReport& report = load.report();
  report.executions = VerifyExecutions(io, config.targets, load.not_run_ids());
  std::fprintf(stderr, "%s", report.ToTable().c_str());
  std::printf("%s\n", report.ToJson().c_str());
  return report.Failed() ? 1 : 0;
}

}  // namespace

int RunHttpLoad(std::span<const std::string> args) {
  LoadConfig config;
  try {
    config = ParseLoad(args);
  } catch (const TCLAP::ExitException& it) {
    return it.getExitStatus();
  } catch (const TCLAP::ArgException& it) {
    std::fprintf(stderr, "http-load: %s %s\n", it.error().c_str(),
                 it.argId().c_str());
    return 2;
  }
  return Run(config);
}

}  // namespace marjoramhall::lab

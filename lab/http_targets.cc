// Command line of http-targets.
#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "lab/http_commands.h"
#include "lab/http_target_group.h"

namespace marjoramhall::lab {
namespace {

constexpr int kMaxTargets = 200;
constexpr double kMaxSeconds = 3600;

struct TargetsConfig {
  std::vector<StandInOptions> targets;
  Duration run_time{0};
};

Duration FromMilliseconds(double ms) {
  return Duration(static_cast<int64_t>(ms * 1000));
}

bool IsLoopback(const Endpoint& it) {
  return (it.address.ToV4() >> 24) == 127 ||
         it.address == IpAddress::Parse("::1");
}

// Returns the addresses of --listen or, without any, `count` loopback addresses
// with ports from `base` up. With base 0 the system chooses the ports.
std::vector<Endpoint> ListenAddresses(const std::vector<std::string>& listen,
                                      int count,
                                      int base) {
  std::vector<Endpoint> out;
  for (const std::string& it : listen) {
    const auto endpoint = Endpoint::Parse(it);
    if (!endpoint || !IsLoopback(*endpoint)) {
      throw TCLAP::ArgException("not a loopback address: " + it, "listen");
    }
    out.push_back(*endpoint);
  }
  for (int i = 0; listen.empty() && i < count; ++i) {
    const int port = base == 0 ? 0 : base + i;
    out.push_back({IpAddress::FromV4(0x7f000001), static_cast<uint16_t>(port)});
  }
  if (out.empty() || out.size() > kMaxTargets) {
    throw TCLAP::ArgException("1 to 200 targets are possible", "count");
  }
  return out;
}

TargetsConfig ParseTargets(std::span<const std::string> args) {
  TCLAP::CmdLine cmd("stand-in targets over HTTP/2");
  cmd.setExceptionHandling(false);
  using Number = TCLAP::ValueArg<double>;
  using Count = TCLAP::ValueArg<int>;
  TCLAP::MultiArg<std::string> listen("", "listen", "address of one target",
                                      false, "127.0.0.1:PORT", cmd);
  Count count("", "count", "number of targets", false, 1, "N", cmd);
  Count base("", "base", "port of the first target; 0: system", false, 0,
             "PORT", cmd);
  TCLAP::ValueArg<std::string> service("", "service", "name of the service",
                                       false, "yardbook", "NAME", cmd);
  Count slots("", "slots", "requests that run at once", false, 3, "N", cmd);
  Count queue_limit("", "queue", "requests that may wait for a slot", false, 0,
                    "N", cmd);
  Number median_service_time("", "median-ms", "median service time", false, 5,
                             "MS", cmd);
  Number sigma("", "sigma", "log-normal spread", false, 0.3, "X", cmd);
  Number stragglers("", "stragglers", "share of slow requests", false, 0, "X",
                    cmd);
  Number straggler_factor("", "straggler-factor",
                          "service time factor of slow requests", false, 30,
                          "X", cmd);
  Number cold_ms("", "cold-ms", "duration of the cold start", false, 0, "MS",
                 cmd);
  Number cold_factor("", "cold-factor", "service time factor at the start",
                     false, 1, "X", cmd);
  Count cold_count("", "cold-count", "targets that start cold; -1: all", false,
                   -1, "N", cmd);
  Count bytes("", "answer-bytes", "bytes of an answer", false, 256, "N", cmd);
  Number lag("", "report-lag-ms", "age of health and load reports", false, 0,
             "MS", cmd);
  Number seconds("", "duration-s", "stop after this time", false, 600, "S",
                 cmd);
  Count seed("", "seed", "random seed", false, 1, "N", cmd);
  std::vector<std::string> argv = {"http-targets"};
  argv.insert(argv.end(), args.begin(), args.end());
  cmd.parse(argv);

  TargetsConfig out;
  if (seconds.getValue() <= 0 || seconds.getValue() > kMaxSeconds) {
    throw TCLAP::ArgException("must be over 0 and at most 3600", "duration-s");
  }
  out.run_time = FromMilliseconds(seconds.getValue() * 1000);
  const auto addresses =
      ListenAddresses(listen.getValue(), count.getValue(), base.getValue());
  for (size_t i = 0; i < addresses.size(); ++i) {
    StandInOptions it;
    it.listen = addresses[i];
    it.service = service.getValue();
    it.name = it.service + "-" + std::to_string(i + 1);
    it.slots = static_cast<uint32_t>(slots.getValue());
    it.queue_limit = static_cast<uint32_t>(queue_limit.getValue());
    it.median_service_time = FromMilliseconds(median_service_time.getValue());
    it.sigma = sigma.getValue();
    it.straggler_share = stragglers.getValue();
    it.straggler_factor = straggler_factor.getValue();
    const int cold = cold_count.getValue();
    if (cold < 0 || i < static_cast<size_t>(cold)) {
      it.cold_duration = FromMilliseconds(cold_ms.getValue());
      it.cold_factor = cold_factor.getValue();
    }
    it.answer_bytes = static_cast<uint64_t>(bytes.getValue());
    it.report_delay = FromMilliseconds(lag.getValue());
    it.seed = static_cast<uint64_t>(seed.getValue()) * 1000 + i;
    out.targets.push_back(it);
  }
  return out;
}

int Run(const TargetsConfig& config) {
  asio::io_context io;
  TargetGroup group(io);
  for (const StandInOptions& it : config.targets) {
    const std::string error = group.Add(it);
    if (!error.empty()) {
      std::fprintf(stderr, "http-targets: %s\n", error.c_str());
      return 1;
    }
  }
  for (const auto& it : group.targets()) {
    std::printf("target %s %s\n", it->options().name.c_str(),
                it->local_endpoint().ToString().c_str());
  }
  std::printf("ready\n");
  std::fflush(stdout);

  asio::steady_timer end(io, config.run_time);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  const auto stop = [&](std::error_code, auto...) { io.stop(); };
  end.async_wait(stop);
  signals.async_wait(stop);
  io.run();
  // Running requests get 5 s to finish.
  group.Shutdown();
  io.restart();
  for (int i = 0; i < 100 && group.sessions() > 0; ++i) {
    io.restart();
    io.run_for(std::chrono::milliseconds(50));
  }
  std::printf("%s\n", group.StatsJson().c_str());
  return 0;
}

}  // namespace

int RunHttpTargets(std::span<const std::string> args) {
  TargetsConfig config;
  try {
    config = ParseTargets(args);
  } catch (const TCLAP::ExitException& it) {
    return it.getExitStatus();
  } catch (const TCLAP::ArgException& it) {
    std::fprintf(stderr, "http-targets: %s %s\n", it.error().c_str(),
                 it.argId().c_str());
    return 2;
  }
  return Run(config);
}

}  // namespace marjoramhall::lab

// Command line of flow-load.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "lab/flow_commands.h"
#include "lab/flow_load.h"

namespace marjoramhall::lab {
namespace {

volatile bool g_stop = false;

void OnSignal(int) {
  g_stop = true;
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  size_t at = 0;
  while (at <= text.size()) {
    const size_t next = std::min(text.find(separator, at), text.size());
    parts.push_back(text.substr(at, next - at));
    at = next + 1;
  }
  return parts;
}

// Calls Endpoint::Parse and throws an error that names the text.
Endpoint ParseEndpoint(const std::string& text) {
  const auto endpoint = Endpoint::Parse(text);
  if (!endpoint) {
    throw TCLAP::ArgException("not an IP address with port: " + text);
  }
  return *endpoint;
}

FlowLoadOptions ParseOptions(std::span<const std::string> args) {
  std::vector<std::string> argv(args.begin(), args.end());
  argv.insert(argv.begin(), "flow-load");
  TCLAP::CmdLine line("Opens flows through VMs and checks where they arrive.");
  line.setExceptionHandling(false);
  TCLAP::MultiArg<std::string> vms("", "vm", "fabric address of a VM", false,
                                   "IP:PORT", line);
  TCLAP::ValueArg<std::string> list(
      "", "vm-list", "file with fabric addresses, read again during the run",
      false, "", "FILE", line);
  TCLAP::MultiArg<std::string> services("", "service",
                                        "flow address and target endpoints",
                                        true, "IP:PORT=IP:PORT,...", line);
  TCLAP::ValueArg<double> flows_per_second("", "rate", "new flows per second",
                                           false, 500, "N", line);
  TCLAP::ValueArg<double> duration("", "duration", "length of the run", false,
                                   10, "S", line);
  TCLAP::ValueArg<int> packet_interval("", "interval-ms",
                                       "time between packets of a flow", false,
                                       500, "MS", line);
  TCLAP::ValueArg<int> flow_lifetime("", "lifetime-ms",
                                     "lifetime of a flow; 0: until the end",
                                     false, 0, "MS", line);
  TCLAP::ValueArg<size_t> size("", "size", "payload bytes", false, 64, "N",
                               line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "random seed", false, 1, "N",
                                 line);
  line.parse(argv);
  FlowLoadOptions options;
  for (const std::string& it : vms.getValue()) {
    options.vms.push_back(ParseEndpoint(it));
  }
  for (const std::string& it : services.getValue()) {
    const auto halves = Split(it, '=');
    if (halves.size() != 2) {
      throw TCLAP::ArgException("expected ADDRESS=TARGET,...: " + it);
    }
    FlowLoadService service{ParseEndpoint(halves[0]), {}};
    for (const std::string& target : Split(halves[1], ',')) {
      service.targets.push_back(ParseEndpoint(target));
    }
    options.services.push_back(service);
  }
  options.vm_list = list.getValue();
  if (options.vms.empty() == options.vm_list.empty()) {
    throw TCLAP::ArgException("give either --vm or --vm-list");
  }
  options.flows_per_second = flows_per_second.getValue();
  options.duration = Duration(static_cast<int64_t>(duration.getValue() * 1e6));
  options.packet_interval =
      std::chrono::milliseconds(packet_interval.getValue());
  options.flow_lifetime = std::chrono::milliseconds(flow_lifetime.getValue());
  options.size = size.getValue();
  options.seed = seed.getValue();
  return options;
}

void Print(const FlowLoadResult& result) {
  const double loss = result.sent == 0
                          ? 0
                          : 1.0 - static_cast<double>(result.received) /
                                      static_cast<double>(result.sent);
  fmt::print("{:<24}{:>8}{:>10}{:>10}{:>16}\n", "target", "service", "flows",
             "packets", "last new flow s");
  nlohmann::json targets = nlohmann::json::array();
  for (const TargetResult& it : result.targets) {
    fmt::print("{:<24}{:>8}{:>10}{:>10}{:>16.2f}\n", it.endpoint.ToString(),
               it.service, it.flows, it.packets, it.last_new_flow);
    targets.push_back({{"endpoint", it.endpoint.ToString()},
                       {"service", it.service},
                       {"flows", it.flows},
                       {"packets", it.packets},
                       {"last_new_flow_s", it.last_new_flow}});
  }
  fmt::print(
      "flows {} established {} broken {} misrouted {} imbalance {:.2f}% "
      "packets/s {:.0f} loss {:.4f}%\n",
      result.started, result.established, result.broken, result.misrouted,
      result.imbalance * 100, static_cast<double>(result.sent) / result.seconds,
      loss * 100);
  const nlohmann::json json = {
      {"flows", result.started},
      {"established", result.established},
      {"broken", result.broken},
      {"misrouted", result.misrouted},
      {"imbalance", result.imbalance},
      {"packets_per_second", static_cast<double>(result.sent) / result.seconds},
      {"sent", result.sent},
      {"received", result.received},
      {"refused", result.refused},
      {"loss", loss},
      {"seconds", result.seconds},
      {"targets", targets}};
  fmt::print("{}\n", json.dump());
}

}  // namespace

int RunFlowLoad(std::span<const std::string> args) {
  try {
    FlowLoad load(ParseOptions(args));
    const std::string error = load.Open();
    if (!error.empty()) {
      std::fprintf(stderr, "flow-load: %s\n", error.c_str());
      return 2;
    }
    std::signal(SIGTERM, OnSignal);
    std::signal(SIGINT, OnSignal);
    fmt::print("ready\n");
    std::fflush(stdout);
    const FlowLoadResult result = load.Run(g_stop);
    Print(result);
    return result.broken + result.misrouted == 0 ? 0 : 1;
  } catch (const TCLAP::ArgException& e) {
    std::fprintf(stderr, "flow-load: %s %s\n", e.error().c_str(),
                 e.argId().c_str());
    return 2;
  } catch (const TCLAP::ExitException& e) {
    return e.getExitStatus();
  }
}

}  // namespace marjoramhall::lab

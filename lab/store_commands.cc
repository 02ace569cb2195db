// Command line of store.
#include "lab/store_commands.h"

#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <thread>
#include <vector>

#include "lab/store_server.h"

namespace marjoramhall::lab {
namespace {

volatile std::sig_atomic_t g_stop = 0;

void OnStopSignal(int) {
  g_stop = 1;
}

int Fail(const std::string& error) {
  std::fprintf(stderr, "marjoramhall-lab store: %s\n", error.c_str());
  return 1;
}

}  // namespace

int RunStore(std::span<const std::string> args) {
  std::string listen;
  std::string content;
  int seconds = 0;
  try {
    TCLAP::CmdLine cmd("Runs a stand-in for the platform's store.", ' ', "0.1");
    cmd.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> listen_arg(
        "", "listen", "address to listen on", true, "", "ADDRESS:PORT", cmd);
    TCLAP::ValueArg<std::string> content_arg(
        "", "content", "JSON file with the initial content, key to value",
        false, "", "FILE", cmd);
    TCLAP::ValueArg<int> seconds_arg("", "seconds", "stop after this time",
                                     false, 3600, "N", cmd);
    std::vector<std::string> argv = {"store"};
    argv.insert(argv.end(), args.begin(), args.end());
    cmd.parse(argv);
    listen = listen_arg.getValue();
    content = content_arg.getValue();
    seconds = seconds_arg.getValue();
  } catch (const TCLAP::ArgException& e) {
    return Fail(e.error() + " " + e.argId());
  }
  const auto endpoint = Endpoint::Parse(listen);
  if (!endpoint) {
    return Fail("--listen must be ADDRESS:PORT, not \"" + listen + "\"");
  }
  StoreServer server;
  if (!content.empty()) {
    std::ifstream file(content);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    const std::string error =
        file.good() || !text.empty() ? server.Restore(text) : "cannot be read";
    if (!error.empty()) {
      return Fail("content file " + content + ": " + error);
    }
  }
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
  if (const std::string error = server.Open(*endpoint); !error.empty()) {
    return Fail(error);
  }
  std::printf("ready\n");
  std::fflush(stdout);
  const TimePoint end = SteadyNow() + std::chrono::seconds(seconds);
  while (g_stop == 0 && SteadyNow() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  std::printf("%s\n", server.StatsJson().c_str());
  return 0;
}

}  // namespace marjoramhall::lab

// Plays one case of the review on loopback: standins CASE PROGRAM RECORD.
//
// The environment variable TROUBLE=0 leaves the disruption out. Exit codes: 1
// if the rule of the case was broken, 0 if it held, 2 if the case could not
// run.
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet.h"
#include "flows.h"
#include "loop.h"
#include "store.h"

namespace marjoramhall::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kStoreAddress = 0x7f000701;  // 127.0.7.1
constexpr std::array<const char*, 4> kZones = {"valley-a", "valley-b",
                                               "valley-c", "valley-d"};

// The requests of the smallest deployment, without the downloads.
std::vector<RequestKind> BoardAndQuotes() {
  return {{"board-pull", "yardbook", true, 0, 4000, 47, 1500, 257, 443},
          {"quote-submit", "yardbook", false, 900, 600, 61, 2000, 73.5, 8443}};
}

struct Case {
  Loop loop;
  std::ofstream record_file;
  std::string folder;
  bool has_trouble = true;
  TimePoint started_at = Clock::now();

  RecordHook Record() {
    return [this](const std::string& line) {
      char time[32];
      std::snprintf(
          time, sizeof(time), "%10.1f ",
          std::chrono::duration<double, std::milli>(Clock::now() - started_at)
              .count());
      record_file << time << line << "\n";
    };
  }

  // Runs until all VMs are in rotation. Returns false if that takes too long.
  bool AwaitReady(const Fleet& fleet) {
    for (int i = 0; i < 100 && !fleet.AllReady(); ++i) {
      loop.RunFor(milliseconds(100));
    }
    return fleet.AllReady();
  }
};

int Finish(Case& self, const Flows& flows, size_t broken) {
  const std::string text = flows.Summary();
  self.Record()(text);
  std::printf("%s\n", text.c_str());
  return broken > 0 ? 1 : 0;
}

// A deployment of seven VMs and 14 servers in four zones, as on the sheet of
// the smallest one.
struct Deployment {
  Deployment(Case& self, const std::string& program, TrafficOptions traffic)
      : store(self.loop),
        is_open(store.Open(kStoreAddress)),
        fleet(self.loop,
              {program, self.folder, kVms, kStoreAddress, store.port()},
              self.Record()),
        flows(self.loop,
              fleet,
              store,
              BoardAndQuotes(),
              traffic,
              kSeed,
              self.Record()) {
    is_open = is_open && fleet.Open() && flows.Open();
    for (size_t i = 0; i < kServers; ++i) {
      servers.push_back(flows.AddServer("yardbook", kZones[i % kZones.size()]));
    }
    is_open = is_open && self.AwaitReady(fleet);
  }

  static constexpr size_t kVms = 7;
  static constexpr size_t kServers = 14;
  static constexpr uint64_t kSeed = 31;

  Store store;
  bool is_open;
  Fleet fleet;
  Flows flows;
  std::vector<Server*> servers;
};

// Clients keep their flows open for a second request, while the VMs are stopped
// and started in turn.
int PlayRoll(Case& self, const std::string& program) {
  TrafficOptions traffic;
  traffic.flows_per_second = 165;
  traffic.requests_per_flow = 2;
  traffic.min_pause = milliseconds(500);
  traffic.max_pause = milliseconds(2000);
  Deployment it(self, program, traffic);
  if (!it.is_open) {
    return 2;
  }
  it.flows.BeginTraffic();
  self.loop.RunFor(seconds(3));
  constexpr int kRolls = 6;
  for (int roll = 0; roll < kRolls; ++roll) {
    for (Vm& vm : it.fleet.vms()) {
      if (self.has_trouble) {
        it.fleet.Restart(vm);
      }
      self.loop.RunFor(milliseconds(2000));
    }
  }
  it.flows.EndTraffic();
  self.loop.RunFor(seconds(4));
  return Finish(self, it.flows, it.flows.broken().flow);
}

// Another program makes rounds and writes entries of its own about the servers,
// with a part of the fields. Meanwhile two servers are emptied and taken away.
int PlayForeignEntries(Case& self, const std::string& program) {
  TrafficOptions traffic;
  traffic.flows_per_second = 220;
  Deployment it(self, program, traffic);
  if (!it.is_open) {
    return 2;
  }
  constexpr auto kRoundInterval = seconds(5);
  int rounds = 0;
  const std::function<void()> make_round = [&] {
    ++rounds;
    for (const Server* server : it.servers) {
      it.flows.PutForeignCopy(*server, rounds);
    }
    self.loop.After(kRoundInterval, make_round);
  };
  it.flows.BeginTraffic();
  self.loop.RunFor(seconds(2));
  if (self.has_trouble) {
    make_round();
  }
  self.loop.RunFor(milliseconds(3500));
  it.flows.Drain(*it.servers[0], seconds(10));
  self.loop.RunFor(seconds(1));
  it.flows.Drain(*it.servers[5], seconds(10));
  self.loop.RunFor(seconds(12));
  it.flows.EndTraffic();
  self.loop.RunFor(seconds(3));
  return Finish(self, it.flows, it.flows.broken().drain);
}

// The store loses its answer to a report of a server and executes the report
// later. Meanwhile the server crashes, starts again under its id, and is
// emptied and taken away together with another one.
int PlayLateReport(Case& self, const std::string& program) {
  TrafficOptions traffic;
  traffic.flows_per_second = 220;
  Deployment it(self, program, traffic);
  if (!it.is_open) {
    return 2;
  }
  it.flows.BeginTraffic();
  self.loop.RunFor(seconds(5));
  if (self.has_trouble) {
    it.flows.ReportLate(*it.servers[0], milliseconds(5950));
  }
  self.loop.RunFor(milliseconds(100));
  if (self.has_trouble) {
    it.flows.CrashAndRestart(*it.servers[0], milliseconds(1180));
  }
  self.loop.RunFor(milliseconds(4000));
  it.flows.Drain(*it.servers[0], seconds(10));
  self.loop.RunFor(milliseconds(1450));
  it.flows.Drain(*it.servers[5], seconds(10));
  self.loop.RunFor(seconds(11));
  it.flows.EndTraffic();
  self.loop.RunFor(seconds(3));
  return Finish(self, it.flows, it.flows.broken().drain);
}

}  // namespace

int Play(const std::string& name,
         const std::string& program,
         const std::string& record) {
  const std::map<std::string, std::function<int(Case&, const std::string&)>>
      cases = {{"roll", PlayRoll},
               {"foreign-entries", PlayForeignEntries},
               {"late-report", PlayLateReport}};
  const auto found = cases.find(name);
  if (found == cases.end()) {
    return 2;
  }
  Case self;
  self.record_file.open(record);
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr || !self.record_file) {
    return 2;
  }
  self.folder = folder;
  const char* trouble = std::getenv("TROUBLE");
  self.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  const int code = found->second(self, program);
  std::filesystem::remove_all(folder);
  return code;
}

}  // namespace marjoramhall::review

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 4) {
    std::fprintf(stderr, "usage: standins CASE PROGRAM RECORD\n");
    return 2;
  }
  return marjoramhall::review::Play(argv[1], argv[2], argv[3]);
}

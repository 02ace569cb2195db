// Case: entries of another writer, and the restart of all VMs.
#include "recover_case.h"

#include <poll.h>

#include <array>
#include <cstdio>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "store.h"
#include "support.h"
#include "traffic.h"
#include "vms.h"

namespace review {
namespace {

// The deployment of stumpwright-lb, with a third of its traffic.
constexpr uint32_t kVms = 7;
constexpr uint32_t kFirstServers = 14;
constexpr uint32_t kSecondServers = 4;
constexpr double kRequestsPerSecond = 100;
constexpr double kServersStartMs = 1'000;
constexpr double kTrafficStartMs = 10'000;
constexpr double kKillAllMs = 25'000;
constexpr double kDownMs = 1'000;
constexpr double kRecoveryMs = 12'000;  // recovery_s
constexpr double kTrafficEndMs = 62'000;
constexpr double kEndMs = 66'000;
// The other writer notes a server that it sees for the first time.
constexpr double kNoteDelayMs = 300;
constexpr double kLeastShare = 0.25;  // RULES.md, RECOVER
constexpr Address kFirstRoute{0xc6120001, 8443};
constexpr Address kSecondRoute{0xc6120002, 8443};

constexpr char kConfig[] =
    R"({"version":7,"routes":[)"
    R"({"name":"r-hwrr6x7","host":"198.18.0.1","prefix":"/8443/",)"
    R"("type":"idempotent","timeout_ms":1500,"target_latency_ms":250,)"
    R"("priority":2,"service":"huvo11a","max_attempts":2},)"
    R"({"name":"r-n73hh2b","host":"198.18.0.2","prefix":"/8443/",)"
    R"("type":"download","timeout_ms":3000,"target_latency_ms":500,)"
    R"("priority":2,"service":"wuno96b","max_attempts":2}],)"
    R"("services":[{"name":"huvo11a","health_path":"/healthz",)"
    R"("max_conns":2000,"protocol":"h1","tls":false},)"
    R"({"name":"wuno96b","health_path":"/healthz",)"
    R"("max_conns":2000,"protocol":"h1","tls":false}],)"
    R"("limits":{"idle_timeout_ms":15000}})";

struct Tally {
  uint64_t sent = 0;
  uint64_t served = 0;
  uint64_t refused = 0;

  double Share() const {
    return sent == 0 ? 0
                     : static_cast<double>(served) / static_cast<double>(sent);
  }
  std::string Text() const {
    return std::to_string(sent) + " requests sent, " + std::to_string(served) +
           " served, " + std::to_string(refused) + " refused, " +
           std::to_string(sent - served - refused) + " without answer";
  }
};

class RecoverCase {
 public:
  RecoverCase(const std::string& repository,
              const std::string& folder,
              const std::string& temporary,
              bool trouble)
      : trouble_(trouble),
        record_(folder + "/record.txt"),
        is_open_(store_.Open(LoopbackIp(70, 1))),
        vms_({repository,
              temporary,
              store_.address(),
              {"valley-a", "valley-b", "valley-c", "valley-d"},
              {{"bounds.config_apply_ms", "3000"},
               {"bounds.drain_ms", "3000"},
               {"limits.link_mbps", "1000"}}}),
        clients_(vms_,
                 {{kFirstRoute, 1500, 9}, {kSecondRoute, 3000, 1}},
                 kRequestsPerSecond) {}

  int Run() {
    if (!is_open_ || !vms_.Prepare(kVms) || !clients_.Open()) {
      record_.Line("cannot run");
      return 2;
    }
    store_.Put("op/config", kConfig);
    for (Vm& it : vms_.all()) {
      if (!vms_.Start(it)) {
        record_.Line("cannot start " + it.name);
        return 2;
      }
    }
    while (NowMs() < kEndMs) {
      if (!Step() || IsStopRequested()) {
        record_.Line("stopped before the end");
        return 2;
      }
    }
    return Report();
  }

 private:
  bool StartServers() {
    const uint16_t port = FreePort(72, kFirstServers + kSecondServers);
    for (uint32_t i = 1; i <= kFirstServers + kSecondServers; ++i) {
      const bool is_first = i <= kFirstServers;
      ServerOptions options;
      std::array<char, 16> id{};
      std::snprintf(id.data(), id.size(), "i-%08x", 0x7f3a91c2U + 977 * i);
      options.id = id.data();
      options.service = is_first ? "huvo11a" : "wuno96b";
      options.zone = std::string("valley-") + "abcd"[i % 4];
      options.address = {LoopbackIp(72, i), port};
      options.work_ms = is_first ? 47 : 4.2;
      servers_.push_back(
          std::make_unique<Server>(options, store_, vms_.packet_port()));
      if (!servers_.back()->Open()) {
        record_.Line("cannot open " + options.address.ToString());
        return false;
      }
    }
    record_.Line(std::to_string(servers_.size()) + " servers start");
    return true;
  }

  // Another program keeps an inventory of the servers beside their entries.
  void WriteInventory() {
    for (const auto& it : servers_) {
      store_.Put(
          "servers/inv-" + it->options().id.substr(2),
          "{" + it->Entry("inventory", it->options().address) + R"(,"seq":1})");
    }
    record_.Line("another writer has written " +
                 std::to_string(servers_.size()) +
                 " entries of the service \"inventory\", which the "
                 "configuration does not name");
  }

  bool Step() {
    std::vector<int> sockets = {clients_.socket_fd()};
    store_.AppendSockets(&sockets);
    for (const auto& it : servers_) {
      sockets.push_back(it->socket_fd());
    }
    std::vector<pollfd> requests;
    requests.reserve(sockets.size());
    for (const int fd : sockets) {
      requests.push_back({fd, POLLIN, 0});
    }
    poll(requests.data(), requests.size(), 1);
    const double now = NowMs();
    if (servers_.empty() && now >= kServersStartMs && !StartServers()) {
      return false;
    }
    for (const auto& it : servers_) {
      it->Step();
    }
    if (trouble_ && !has_inventory_ && now >= kServersStartMs + kNoteDelayMs) {
      has_inventory_ = true;
      WriteInventory();
    }
    store_.Step();
    clients_.Step(now >= kTrafficStartMs && now < kTrafficEndMs);
    for (Vm* it : vms_.ReapEnded()) {
      record_.Line(it->name + " has ended by itself");
      it->restart_at_ms = now + kDownMs;
    }
    if (!was_killed_ && now >= kKillAllMs) {
      was_killed_ = true;
      for (Vm& it : vms_.all()) {
        Vms::Kill(it);
        it.restart_at_ms = now + kDownMs;
      }
      record_.Line("all VMs are killed, and start again after 1 s");
    }
    vms_.StartDue();
    vms_.CheckReadiness();
    return true;
  }

  int Report() {
    Tally before;
    Tally after;
    const double recovered_at = kKillAllMs + kDownMs + kRecoveryMs;
    for (const Request& it : clients_.requests()) {
      if (it.sent_at_ms >= kKillAllMs && it.sent_at_ms < recovered_at) {
        continue;
      }
      Tally& tally = it.sent_at_ms < kKillAllMs ? before : after;
      ++tally.sent;
      tally.served += it.outcome == Outcome::kServed ? 1 : 0;
      tally.refused += it.outcome == Outcome::kRefused ? 1 : 0;
    }
    uint64_t run = 0;
    uint64_t forged = 0;
    for (const auto& it : servers_) {
      run += it->requests_run();
      forged += it->forged_packets();
    }
    record_.Line("before the end of all VMs: " + before.Text());
    record_.Line("more than 12 s after they are back: " + after.Text());
    record_.Line("run by the servers: " + std::to_string(run) +
                 "; forged packets at servers: " + std::to_string(forged));
    if (before.Share() < kLeastShare) {
      record_.Line("too little was served before; the case says nothing");
      return 2;
    }
    const bool broken = after.Share() < kLeastShare;
    record_.Line(std::string("RECOVER ") + (broken ? "BROKEN" : "held"));
    return broken ? 1 : 0;
  }

  const bool trouble_;
  Record record_;
  Store store_;
  const bool is_open_;
  Vms vms_;
  Clients clients_;
  std::vector<std::unique_ptr<Server>> servers_;
  bool has_inventory_ = false;
  bool was_killed_ = false;
};

}  // namespace

int RunRecoverCase(const std::string& repository,
                   const std::string& folder,
                   const std::string& temporary,
                   bool trouble) {
  RecoverCase it(repository, folder, temporary, trouble);
  return it.Run();
}

}  // namespace review

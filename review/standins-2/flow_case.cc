// Case: an entry of another writer, and the open flows of a server.
#include "flow_case.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "packet.h"
#include "store.h"
#include "support.h"
#include "traffic.h"
#include "vms.h"

namespace review {
namespace {

// A part of the deployment of pateka-sofia: its long flows and bounds.
constexpr uint32_t kVms = 7;
constexpr uint32_t kFirstServers = 14;
constexpr uint32_t kSecondServers = 4;
constexpr uint32_t kFlows = 56;
constexpr double kServersStartMs = 1'000;
constexpr double kFlowsStartMs = 10'000;
constexpr double kForeignEntryMs = 20'000;
constexpr double kEndMs = 40'000;
constexpr int64_t kStartedBeforeMs = 60'000;
constexpr double kPauseMs = 250;      // between two requests of a flow
constexpr double kDeadlineMs = 4000;  // of a request
constexpr double kReorderMs = 2000;   // flow_reorder_ms
constexpr size_t kPacketsElsewhere = 3;
constexpr uint32_t kClientIp = LoopbackIp(73, 1);
constexpr Address kRoute{0xc6120001, 8443};

constexpr char kConfig[] =
    R"({"version":7,"routes":[)"
    R"({"name":"r-hwrr6x7","host":"198.18.0.1","prefix":"/8443/",)"
    R"("type":"idempotent","timeout_ms":4000,"target_latency_ms":400,)"
    R"("priority":2,"service":"huvo11a","max_attempts":2},)"
    R"({"name":"r-n73hh2b","host":"198.18.0.2","prefix":"/8443/",)"
    R"("type":"non_idempotent","timeout_ms":4000,"target_latency_ms":500,)"
    R"("priority":2,"service":"wuno96b","max_attempts":2}],)"
    R"("services":[{"name":"huvo11a","health_path":"/healthz",)"
    R"("max_conns":2000,"protocol":"h1","tls":false},)"
    R"({"name":"wuno96b","health_path":"/healthz",)"
    R"("max_conns":2000,"protocol":"h1","tls":false}],)"
    R"("limits":{"idle_timeout_ms":15000}})";

struct Arrival {
  double at_ms = 0;
  bool is_own = false;  // at the server of the flow
};

// A client that keeps its flow open for many requests.
struct LongFlow {
  Address client;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t echo = 0;
  bool is_open = false;
  bool awaits_response = false;
  bool has_ended = false;
  double opened_at_ms = 0;
  double sent_at_ms = 0;  // the request
  double next_send_ms = 0;
  double retry_delay_ms = 0;
  uint64_t answered = 0;
  uint64_t unanswered = 0;
  size_t server = 0;  // index of the server that got its packets
  bool has_server = false;
  std::vector<Arrival> arrivals;
};

class FlowCase {
 public:
  FlowCase(const std::string& repository,
           const std::string& folder,
           const std::string& temporary,
           bool trouble)
      : trouble_(trouble),
        record_(folder + "/record.txt"),
        is_open_(store_.Open(LoopbackIp(70, 1))),
        vms_({repository,
              temporary,
              store_.address(),
              {"sofia-a", "sofia-b", "sofia-c"},
              {{"bounds.config_apply_ms", "5000"},
               {"bounds.drain_ms", "5000"},
               {"limits.link_mbps", "10"}}}) {}
  ~FlowCase() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }
  FlowCase(const FlowCase&) = delete;
  FlowCase& operator=(const FlowCase&) = delete;

  int Run() {
    if (!is_open_ || !vms_.Prepare(kVms)) {
      record_.Line("cannot run");
      return 2;
    }
    fd_ = OpenUdp({kClientIp, vms_.packet_port()});
    store_.Put("op/config", kConfig);
    for (Vm& it : vms_.all()) {
      if (fd_ < 0 || !vms_.Start(it)) {
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
      options.zone = std::string("sofia-") + "abc"[i % 3];
      options.address = {LoopbackIp(72, i), port};
      options.work_ms = 26;
      options.slots = 2;
      const size_t index = servers_.size();
      servers_.push_back(
          std::make_unique<Server>(options, store_, vms_.packet_port()));
      servers_.back()->set_on_arrival(
          [this, index](const Packet& packet, bool is_own) {
            OnArrival(index, packet, is_own);
          });
      if (!servers_.back()->Open()) {
        record_.Line("cannot open " + options.address.ToString());
        return false;
      }
    }
    record_.Line(std::to_string(servers_.size()) + " servers start");
    return true;
  }

  // At a server: only packets after the SYN of flows count.
  void OnArrival(size_t index, const Packet& packet, bool is_own) {
    const auto it = by_port_.find(packet.source.port);
    if (it == by_port_.end() || packet.Has(kSyn)) {
      return;
    }
    LongFlow& flow = flows_[it->second];
    if (is_own && !flow.has_server) {
      flow.has_server = true;
      flow.server = index;
    }
    flow.arrivals.push_back({NowMs(), is_own && flow.server == index});
  }

  // Another writer writes one entry. It names a server that holds flows.
  void WriteForeignEntry() {
    victim_ = flows_.front().server;
    const Server& server = *servers_[victim_];
    const Address elsewhere = servers_.back()->options().address;
    // The writer's own start, before that of the server.
    const int64_t born_ms = server.born_ms() - kStartedBeforeMs;
    // Ends with the id of the server.
    const std::string key = "servers/agent-" + server.options().id;
    store_.Put(key, R"({"service":"canary","address":")" +
                        elsewhere.ToString() +
                        R"(","zone":"sofia-a","version":"v1","slots":2,)"
                        R"("state":"ready","warmup_left_ms":0,"born":)" +
                        std::to_string(born_ms) + R"(,"seq":1})");
    written_at_ms_ = NowMs();
    record_.Line("another writer has written " + key +
                 " once: service \"canary\", which the configuration does not "
                 "name, at " +
                 elsewhere.ToString() + "; the server's entry is " +
                 server.Key() + ", its address " +
                 server.options().address.ToString());
  }

  void OpenFlows() {
    std::mt19937 random(7);
    for (uint32_t i = 0; i < kFlows; ++i) {
      LongFlow flow;
      flow.client = {kClientIp, static_cast<uint16_t>(21'000 + 7 * i)};
      flow.sequence = static_cast<uint32_t>(random());
      flow.opened_at_ms = NowMs();
      flow.next_send_ms = NowMs() + 20 * i;
      flow.retry_delay_ms = 200;
      by_port_[flow.client.port] = flows_.size();
      flows_.push_back(std::move(flow));
    }
  }

  void Send(const LongFlow& flow, uint8_t flags, std::string data) {
    Packet packet;
    packet.flags = flags;
    packet.source = flow.client;
    packet.destination = kRoute;
    packet.echo = flow.echo;
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.acknowledged;
    packet.data = std::move(data);
    SendUdp(fd_, VmFor(vms_, flow.client).packets, EncodePacket(packet));
  }

  void SendDue(LongFlow& flow) {
    const double now = NowMs();
    if (flow.has_ended || now < flow.next_send_ms) {
      return;
    }
    if (!flow.is_open) {
      Send(flow, kSyn, "");
    } else {
      if (!flow.awaits_response) {
        flow.awaits_response = true;
        flow.sent_at_ms = now;
        flow.retry_delay_ms = 200;
      } else if (now - flow.sent_at_ms >= kDeadlineMs) {
        ++flow.unanswered;
        flow.has_ended = true;
        record_.Line("flow of client port " + std::to_string(flow.client.port) +
                     " gave up a request after its deadline");
        return;
      }
      Send(flow, kAck, kRequest);
    }
    flow.next_send_ms = now + flow.retry_delay_ms;
    flow.retry_delay_ms = std::min(flow.retry_delay_ms * 2, 1600.0);
  }

  void OnPacket(LongFlow& flow, const Packet& packet) {
    if (packet.Has(kReset)) {
      flow.has_ended = true;
      record_.Line("flow of client port " + std::to_string(flow.client.port) +
                   " was reset");
      return;
    }
    flow.echo = packet.echo;
    if (packet.Has(kSyn) && !flow.is_open) {
      flow.is_open = true;
      ++flow.sequence;
      flow.acknowledged = packet.sequence + 1;
      flow.next_send_ms = NowMs();
    } else if (!packet.data.empty() && flow.awaits_response &&
               packet.sequence == flow.acknowledged) {
      flow.awaits_response = false;
      ++flow.answered;
      flow.sequence += static_cast<uint32_t>(std::string(kRequest).size());
      flow.acknowledged += static_cast<uint32_t>(packet.data.size());
      Send(flow, kAck, "");
      flow.next_send_ms = NowMs() + kPauseMs;
    }
  }

  bool Step() {
    std::vector<int> sockets = {fd_};
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
    if (flows_.empty() && now >= kFlowsStartMs) {
      OpenFlows();
    }
    if (trouble_ && !has_foreign_entry_ && now >= kForeignEntryMs) {
      has_foreign_entry_ = true;
      WriteForeignEntry();
    }
    store_.Step();
    std::string bytes;
    Address from;
    while (ReceiveUdp(fd_, &bytes, &from)) {
      Packet packet;
      if (DecodePacket(bytes, &packet)) {
        const auto it = by_port_.find(packet.destination.port);
        if (it != by_port_.end()) {
          OnPacket(flows_[it->second], packet);
        }
      }
    }
    for (LongFlow& it : flows_) {
      SendDue(it);
    }
    for (Vm* it : vms_.ReapEnded()) {
      record_.Line(it->name + " has ended by itself");
    }
    vms_.CheckReadiness();
    return true;
  }

  // RULES.md, FLOW (b): for flow_reorder_ms three or more of the flow's packets
  // reach other servers and none its own.
  static bool IsMisdirected(const LongFlow& flow) {
    for (const Arrival& first : flow.arrivals) {
      const double end = first.at_ms + kReorderMs;
      size_t elsewhere = 0;
      bool reached_own = false;
      for (const Arrival& it : flow.arrivals) {
        if (it.at_ms >= first.at_ms && it.at_ms <= end) {
          elsewhere += it.is_own ? 0 : 1;
          reached_own |= it.is_own;
        }
      }
      if (!reached_own && elsewhere >= kPacketsElsewhere) {
        return true;
      }
    }
    return false;
  }

  int Report() {
    uint64_t answered = 0;
    uint64_t unanswered = 0;
    uint32_t misdirected = 0;
    uint32_t at_victim = 0;
    uint64_t late_arrivals = 0;
    for (const LongFlow& it : flows_) {
      if (has_foreign_entry_ && it.server == victim_) {
        late_arrivals += static_cast<uint64_t>(std::count_if(
            it.arrivals.begin(), it.arrivals.end(), [this](const Arrival& a) {
              return a.is_own && a.at_ms >= written_at_ms_ + kReorderMs;
            }));
      }
      answered += it.answered;
      unanswered += it.unanswered;
      misdirected += IsMisdirected(it) ? 1 : 0;
      at_victim += has_foreign_entry_ && it.server == victim_ ? 1 : 0;
    }
    record_.Line(std::to_string(flows_.size()) + " flows, " +
                 std::to_string(answered) + " requests answered, " +
                 std::to_string(unanswered) + " never answered");
    record_.Line(
        "flows open at the server of the entry: " + std::to_string(at_victim) +
        "; their packets that reached it later than 2 s after the "
        "entry: " +
        std::to_string(late_arrivals));
    if (answered == 0) {
      record_.Line("nothing was served; the case says nothing");
      return 2;
    }
    record_.Line(std::to_string(misdirected) +
                 " flows had three packets or more at other servers and none "
                 "at their own for 2 s: FLOW " +
                 (misdirected > 0 ? "BROKEN" : "held"));
    return misdirected > 0 ? 1 : 0;
  }

  static constexpr char kRequest[] = "GET /feed HTTP/1.1\r\nHost: a\r\n\r\n";

  const bool trouble_;
  Record record_;
  Store store_;
  const bool is_open_;
  Vms vms_;
  int fd_ = -1;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<LongFlow> flows_;
  std::map<uint16_t, size_t> by_port_;  // indexes of flows_
  bool has_foreign_entry_ = false;
  size_t victim_ = 0;
  double written_at_ms_ = 0;
};

}  // namespace

int RunFlowCase(const std::string& repository,
                const std::string& folder,
                const std::string& temporary,
                bool trouble) {
  FlowCase it(repository, folder, temporary, trouble);
  return it.Run();
}

}  // namespace review

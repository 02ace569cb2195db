// Case: VMs are stopped and started in turn behind routers that hash by `mod`.
#include "rotation_case.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "packet.h"
#include "readiness.h"
#include "store.h"
#include "support.h"
#include "traffic.h"
#include "vms.h"

namespace review {
namespace {

// The VMs, the servers of the first service, the delays and the bounds of one
// zone of stumpwright-lb-grown (valley-a).
constexpr uint32_t kVms = 21;
constexpr uint32_t kServers = 30;
constexpr double kClientDelayMs = 3;  // one way, to routers and from servers
constexpr double kFlowIntervalMs = 1000.0 / 500;
constexpr int kRequestsPerFlow = 3;
constexpr double kPauseMs = 250;  // between two requests of a flow
constexpr double kDeadlineMs = 3000;
constexpr double kFirstRetryMs = 200;
constexpr double kMaxRetryMs = 1600;
constexpr double kSecondSynMs = 600;
constexpr double kSynLimitMs = 1400;
constexpr double kServersStartMs = 1'000;
constexpr double kFlowsStartMs = 10'000;
constexpr double kStopsStartMs = 12'000;
constexpr double kStopIntervalMs = 1'300;  // gap_s of roll_term
constexpr int kStopsAtOnce = 3;            // x of roll_term
constexpr double kRestartDelayMs = 300;
constexpr double kFlowsEndMs = 98'000;
constexpr double kEndMs = 100'000;
constexpr uint32_t kClientIps = 2;
constexpr uint32_t kFirstPort = 20'000;
constexpr uint32_t kPortsPerIp = 40'000;
constexpr Address kRoute{0xc6120001, 8443};

constexpr char kConfig[] =
    R"({"version":7,"routes":[)"
    R"({"name":"r-hwrr6x7","host":"198.18.0.1","prefix":"/8443/",)"
    R"("type":"idempotent","timeout_ms":3000,"target_latency_ms":400,)"
    R"("priority":2,"service":"huvo11a","max_attempts":2}],)"
    R"("services":[{"name":"huvo11a","health_path":"/healthz",)"
    R"("max_conns":2000,"protocol":"h1","tls":false}],)"
    R"("limits":{"idle_timeout_ms":15000}})";

// A client's flow of some requests.
struct Flow {
  Address client;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t echo = 0;
  uint32_t syn_copies = 0;
  bool is_answered = false;  // the client has got a SYN+ACK
  bool awaits_response = false;
  int requests_left = kRequestsPerFlow;
  double opened_at_ms = 0;
  double sent_at_ms = 0;  // the request
  double next_send_ms = 0;
  double retry_delay_ms = 0;
  uint32_t server_ip = 0;  // whose SYN+ACK the client accepted
  bool is_open = false;    // that server has the end of the handshake
  double open_at_ms = 0;
};

struct Counts {
  uint64_t flows = 0;
  uint64_t answered = 0;         // requests
  uint64_t refused = 0;          // flows that were reset before they were open
  uint64_t unanswered = 0;       // flows given up
  uint64_t reset_by_own = 0;     // open flows, by their server
  uint64_t reset_by_others = 0;  // open flows, by another server or a VM
  double longest_handshake_ms = 0;
  double longest_step_ms = 0;
};

struct Delayed {
  double due_ms = 0;
  std::string bytes;
  Address peer;  // the client, or the sender
};

class RotationCase {
 public:
  RotationCase(const std::string& repository,
               const std::string& folder,
               const std::string& temporary,
               bool trouble)
      : trouble_(trouble),
        record_(folder + "/record.txt"),
        is_open_(store_.Open(LoopbackIp(70, 1))),
        vms_({repository,
              temporary,
              store_.address(),
              {"valley-a"},
              {{"bounds.config_apply_ms", "5000"},
               {"bounds.drain_ms", "5000"},
               {"limits.link_mbps", "10"}}}),
        readiness_(vms_) {}
  ~RotationCase() {
    for (const int fd : client_fds_) {
      close(fd);
    }
  }
  RotationCase(const RotationCase&) = delete;
  RotationCase& operator=(const RotationCase&) = delete;

  int Run() {
    if (!is_open_ || !vms_.Prepare(kVms)) {
      record_.Line("cannot run");
      return 2;
    }
    for (uint32_t i = 1; i <= kClientIps; ++i) {
      const int fd = OpenUdp({LoopbackIp(73, i), vms_.packet_port()});
      if (fd < 0) {
        record_.Line("cannot open a client's address");
        return 2;
      }
      client_fds_.push_back(fd);
    }
    store_.Put("op/config", kConfig);
    for (Vm& it : vms_.all()) {
      if (!vms_.Start(it)) {
        record_.Line("cannot start " + it.name);
        return 2;
      }
    }
    while (NowMs() < kEndMs) {
      const double begin = NowMs();
      if (!Step() || IsStopRequested()) {
        record_.Line("stopped before the end");
        return 2;
      }
      if (begin >= kFlowsStartMs) {
        counts_.longest_step_ms =
            std::max(counts_.longest_step_ms, NowMs() - begin);
      }
    }
    return Report();
  }

 private:
  using FlowKey = std::pair<uint32_t, uint16_t>;

  bool StartServers() {
    const uint16_t port = FreePort(72, kServers);
    for (uint32_t i = 1; i <= kServers; ++i) {
      ServerOptions options;
      std::array<char, 16> id{};
      std::snprintf(id.data(), id.size(), "i-%08x", 0x7f3a91c2U + 977 * i);
      options.id = id.data();
      options.service = "huvo11a";
      options.zone = "valley-a";
      options.address = {LoopbackIp(72, i), port};
      options.work_ms = 5;
      options.slots = 2;
      servers_.push_back(
          std::make_unique<Server>(options, store_, vms_.packet_port()));
      servers_.back()->set_on_arrival(
          [this, ip = options.address.ip](const Packet& packet, bool is_own) {
            OnArrival(ip, packet, is_own);
          });
      if (!servers_.back()->Open()) {
        record_.Line("cannot open " + options.address.ToString());
        return false;
      }
    }
    record_.Line(std::to_string(servers_.size()) + " servers start");
    return true;
  }

  // The flow opens when its server gets the end of the handshake.
  void OnArrival(uint32_t server_ip, const Packet& packet, bool is_own) {
    const auto it = flows_.find({packet.source.ip, packet.source.port});
    if (it == flows_.end() || packet.Has(kSyn) || !is_own) {
      return;
    }
    Flow& flow = it->second;
    if (!flow.is_open && flow.server_ip == server_ip) {
      flow.is_open = true;
      flow.open_at_ms = NowMs();
      counts_.longest_handshake_ms = std::max(
          counts_.longest_handshake_ms, flow.open_at_ms - flow.opened_at_ms);
    }
  }

  // PROTOCOL.md, Ingress: a hash over the nodes in rotation, or over all nodes
  // if fewer than half are. By `mod`, nearly all flows move at each change.
  const Vm& Route(const Address& client) const {
    std::vector<const Vm*> nodes;
    for (const Vm& it : vms_.all()) {
      if (it.in_rotation) {
        nodes.push_back(&it);
      }
    }
    if (2 * nodes.size() < vms_.all().size()) {
      nodes.clear();
      for (const Vm& it : vms_.all()) {
        nodes.push_back(&it);
      }
    }
    uint64_t hash = (uint64_t{client.ip} << 16) ^ client.port;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebU;
    return *nodes[(hash ^ (hash >> 31)) % nodes.size()];
  }

  void Send(const Flow& flow, uint8_t flags, std::string data) {
    Packet packet;
    packet.flags = flags;
    packet.source = flow.client;
    packet.destination = kRoute;
    packet.echo = flow.echo;
    packet.sequence = flow.sequence;
    packet.acknowledged =
        (flags & kSyn) != 0 ? flow.syn_copies : flow.acknowledged;
    packet.data = std::move(data);
    to_routers_.push_back(
        {NowMs() + kClientDelayMs, EncodePacket(packet), flow.client});
  }

  void OpenFlow() {
    Flow flow;
    const auto n = static_cast<uint32_t>(counts_.flows++);
    flow.client = {LoopbackIp(73, 1 + n / kPortsPerIp),
                   static_cast<uint16_t>(kFirstPort + n % kPortsPerIp)};
    flow.sequence = static_cast<uint32_t>(random_());
    flow.opened_at_ms = NowMs();
    flow.next_send_ms = flow.opened_at_ms;
    flows_[{flow.client.ip, flow.client.port}] = flow;
  }

  // Returns whether the client gives the flow up.
  bool SendDue(Flow& flow) {
    const double now = NowMs();
    if (now < flow.next_send_ms) {
      return false;
    }
    if (!flow.is_answered) {
      if (now - flow.opened_at_ms >= kSynLimitMs) {
        return true;
      }
      Send(flow, kSyn, "");
      ++flow.syn_copies;
      flow.next_send_ms =
          flow.opened_at_ms + (flow.syn_copies == 1   ? kFirstRetryMs
                               : flow.syn_copies == 2 ? kSecondSynMs
                                                      : kSynLimitMs);
      return false;
    }
    if (!flow.awaits_response) {
      flow.awaits_response = true;
      flow.sent_at_ms = now;
      flow.retry_delay_ms = kFirstRetryMs;
    } else if (now - flow.sent_at_ms >= kDeadlineMs) {
      return true;
    }
    Send(flow, kAck, kRequest);
    flow.next_send_ms = now + flow.retry_delay_ms;
    flow.retry_delay_ms = std::min(flow.retry_delay_ms * 2, kMaxRetryMs);
    return false;
  }

  // Returns whether the flow has ended.
  bool OnPacket(Flow& flow, const Packet& packet, const Address& from) {
    if (packet.Has(kReset)) {
      if (!flow.is_open) {
        ++counts_.refused;
      } else if (from.ip == flow.server_ip) {
        ++counts_.reset_by_own;
      } else {
        ++counts_.reset_by_others;
        record_.Line(
            "flow of " + flow.client.ToString() + ", open at " +
            Address{flow.server_ip, from.port}.ToString() + " for " +
            std::to_string(static_cast<int>(NowMs() - flow.open_at_ms)) +
            " ms, was reset by " + from.ToString());
      }
      return true;
    }
    flow.echo = packet.echo;  // the last one that was received
    if (packet.Has(kSyn)) {
      if (!flow.is_answered) {
        flow.is_answered = true;
        flow.server_ip = from.ip;
        ++flow.sequence;
        flow.acknowledged = packet.sequence + 1;
        flow.next_send_ms = NowMs();
      }
      return false;
    }
    if (packet.data.empty() || !flow.awaits_response ||
        packet.sequence != flow.acknowledged) {
      return false;
    }
    flow.awaits_response = false;
    ++counts_.answered;
    flow.sequence += static_cast<uint32_t>(std::string(kRequest).size());
    flow.acknowledged += static_cast<uint32_t>(packet.data.size());
    if (--flow.requests_left == 0) {
      Send(flow, kAck | kFin, "");
      return true;
    }
    Send(flow, kAck, "");
    flow.next_send_ms = NowMs() + kPauseMs;
    return false;
  }

  // Some VMs at a time get SIGTERM, and start again when they have ended.
  void StopInTurn(double now) {
    if (trouble_ && now >= next_stop_ms_ && now < kFlowsEndMs) {
      next_stop_ms_ += kStopIntervalMs;
      for (int i = 0; i < kStopsAtOnce; ++i) {
        const Vm& vm = vms_.all()[stops_++ % vms_.all().size()];
        if (vm.pid > 0) {
          kill(vm.pid, SIGTERM);
        }
      }
    }
    for (Vm* it : vms_.ReapEnded()) {
      it->restart_at_ms = now + kRestartDelayMs;
      ended_ += trouble_ ? 0 : 1;
    }
    vms_.StartDue();
  }

  void MovePackets(double now) {
    while (!to_routers_.empty() && to_routers_.front().due_ms <= now) {
      const Delayed& it = to_routers_.front();
      SendUdp(client_fds_.front(), Route(it.peer).packets, it.bytes);
      to_routers_.pop_front();
    }
    for (const int fd : client_fds_) {
      Delayed it;
      while (ReceiveUdp(fd, &it.bytes, &it.peer)) {
        it.due_ms = now + kClientDelayMs;
        to_clients_.push_back(it);
      }
    }
    while (!to_clients_.empty() && to_clients_.front().due_ms <= now) {
      Packet packet;
      if (DecodePacket(to_clients_.front().bytes, &packet)) {
        const auto it =
            flows_.find({packet.destination.ip, packet.destination.port});
        if (it != flows_.end() &&
            OnPacket(it->second, packet, to_clients_.front().peer)) {
          flows_.erase(it);
        }
      }
      to_clients_.pop_front();
    }
  }

  bool Step() {
    std::vector<int> sockets = client_fds_;
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
    store_.Step();
    readiness_.Step();
    StopInTurn(now);
    for (; now >= next_flow_ms_ && now < kFlowsEndMs;
         next_flow_ms_ += kFlowIntervalMs) {
      OpenFlow();
    }
    MovePackets(now);
    for (auto it = flows_.begin(); it != flows_.end();) {
      if (SendDue(it->second)) {
        ++counts_.unanswered;
        it = flows_.erase(it);
      } else {
        ++it;
      }
    }
    return true;
  }

  int Report() {
    record_.Line(std::to_string(counts_.flows) + " flows, " +
                 std::to_string(counts_.answered) + " requests answered, " +
                 std::to_string(counts_.refused) + " flows refused, " +
                 std::to_string(counts_.unanswered) + " given up");
    record_.Line(
        std::to_string(trouble_ ? stops_ : 0) + " stops, " +
        std::to_string(readiness_.changes()) + " changes of the rotation, " +
        std::to_string(readiness_.close_changes()) +
        " of them 20 to 200 ms after another; longest handshake " +
        std::to_string(static_cast<int>(counts_.longest_handshake_ms)) +
        " ms, longest step of the stand-ins " +
        std::to_string(static_cast<int>(counts_.longest_step_ms)) + " ms");
    if (counts_.answered == 0 || ended_ > 0) {
      record_.Line(
          "nothing was served or a VM ended by itself; the case says "
          "nothing");
      return 2;
    }
    record_.Line("open flows that were reset: " +
                 std::to_string(counts_.reset_by_own) + " by their server, " +
                 std::to_string(counts_.reset_by_others) + " by others: FLOW " +
                 (counts_.reset_by_others > 0 ? "BROKEN" : "held"));
    return counts_.reset_by_others > 0 ? 1 : 0;
  }

  static constexpr char kRequest[] = "GET /feed HTTP/1.1\r\nHost: a\r\n\r\n";

  const bool trouble_;
  Record record_;
  Store store_;
  const bool is_open_;
  Vms vms_;
  Readiness readiness_;
  std::vector<int> client_fds_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<FlowKey, Flow> flows_;  // by the client's address and port
  std::deque<Delayed> to_routers_;
  std::deque<Delayed> to_clients_;
  std::mt19937 random_{11};
  Counts counts_;
  double next_flow_ms_ = kFlowsStartMs;
  double next_stop_ms_ = kStopsStartMs;
  size_t stops_ = 0;
  uint64_t ended_ = 0;  // VMs that ended by themselves
};

}  // namespace

int RunRotationCase(const std::string& repository,
                    const std::string& folder,
                    const std::string& temporary,
                    bool trouble) {
  RotationCase it(repository, folder, temporary, trouble);
  return it.Run();
}

}  // namespace review

// Behavior of clients and servers.
#include "flows.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace marjoramhall::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kClientAddress = 0x7f000401;   // 127.0.4.1
constexpr uint32_t kServerNetwork = 0x7f000500;   // 127.0.5.0
constexpr uint32_t kServiceAddress = 0x7f000901;  // 127.0.9.1, in packets only
constexpr uint16_t kFirstClientPort = 10'000;

// One way between clients and the platform.
constexpr Duration kClientDelay = milliseconds(3);
constexpr Duration kAckDelay = milliseconds(40);
constexpr Duration kFirstRetry = milliseconds(200);
constexpr Duration kMaxRetry = milliseconds(1600);
constexpr int kServerRetries = 8;
// A client sends its SYN again 200 and 600 ms after the first.
constexpr Duration kSynCopies[] = {milliseconds(200), milliseconds(600)};
constexpr Duration kOpenTimeout = milliseconds(1400);
constexpr Duration kHeartbeat = milliseconds(770);

// Bounds of the rules.
constexpr Duration kDrainBound = milliseconds(3000);
constexpr Duration kReorderBound = milliseconds(2000);
constexpr int kReorderPackets = 3;

constexpr size_t kTracedPackets = 60;

int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

struct Server {
  struct Flow {
    bool is_open = false;
    uint32_t client_initial = 0;  // sequence number of the SYN
    uint32_t sequence = 0;        // of the next byte to send
    uint32_t expected = 0;        // of the next byte to receive
    uint32_t echo = 0;            // last received
    int syn_ack_retries = 0;
    // The response that the client has not acknowledged as a whole.
    std::string response;
    uint32_t response_begin = 0;
    int response_retries = 0;
    int unacknowledged = 0;  // data packets
    uint64_t timer = 0;      // number of the retransmission timer in force
  };

  uint64_t instance = 0;
  std::string id;
  std::string service;
  std::string zone;
  uint32_t address = 0;
  uint16_t port = 0;
  int socket = -1;
  uint32_t slots = 3;
  bool is_alive = true;
  bool is_draining = false;
  TimePoint draining_since;
  uint64_t sequence = 0;  // of its reports
  int64_t born_ms = 0;
  std::string written;  // its last report
  uint32_t running = 0;
  std::deque<std::pair<std::tuple<uint32_t, uint16_t, uint16_t>, std::string>>
      queue;
  std::map<std::tuple<uint32_t, uint16_t, uint16_t>, Flow> flows;
};

struct ClientFlow {
  const RequestKind* kind = nullptr;
  std::string zone;
  uint32_t address = 0;
  uint16_t port = 0;
  std::tuple<uint32_t, uint16_t, uint16_t> key;
  uint64_t number = 0;
  uint32_t initial = 0;         // sequence number of the SYN
  uint32_t sequence = 0;        // of the next byte to send
  uint32_t expected = 0;        // of the next byte to receive
  uint32_t echo = 0;            // last received
  uint32_t server_initial = 0;  // sequence number of the accepted SYN+ACK
  bool has_answer = false;      // a SYN+ACK was accepted
  // The server that has the end of the handshake.
  Server* server = nullptr;
  bool is_closing = false;  // the client has sent its FIN
  int requests_left = 0;
  uint64_t attempt = 0;
  std::string request;
  uint32_t request_begin = 0;
  bool request_acknowledged = false;
  bool is_waiting = false;  // for a response
  TimePoint request_sent_at;
  size_t response_received = 0;
  int unacknowledged = 0;  // data packets
  uint64_t ack_timer = 0;
  // Packets that reached other servers since the last that reached its own.
  int strayed = 0;
  TimePoint strayed_since;
  bool is_reported = false;
  std::vector<std::string> trace;
};

Flows::Flows(Loop& loop,
             Fleet& fleet,
             Store& store,
             std::vector<RequestKind> kinds,
             TrafficOptions traffic,
             uint64_t seed,
             RecordHook record)
    : loop_(loop),
      fleet_(fleet),
      store_(store),
      kinds_(std::move(kinds)),
      traffic_(traffic),
      record_(std::move(record)),
      random_(seed) {}

Flows::~Flows() {
  if (client_socket_ >= 0) {
    close(client_socket_);
  }
  for (const auto& it : servers_) {
    if (it->socket >= 0) {
      close(it->socket);
    }
  }
}

double Flows::Milliseconds(TimePoint at) const {
  return std::chrono::duration<double, std::milli>(at - started_at_).count();
}

void Flows::Trace(const FlowKey& key, const std::string& what) {
  ClientFlow* flow = Find(key);
  if (flow == nullptr || flow->trace.size() >= kTracedPackets) {
    return;
  }
  char time[32];
  std::snprintf(time, sizeof(time), "%.1f ms ", Milliseconds(Clock::now()));
  flow->trace.push_back(time + what);
}

void Flows::Break(size_t Broken::*rule, const std::string& what) {
  ++(broken_.*rule);
  record_("BROKEN " + what);
}

ClientFlow* Flows::Find(const FlowKey& key) {
  const auto it = flows_.find(key);
  return it == flows_.end() ? nullptr : it->second.get();
}

bool Flows::Open() {
  client_socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_addr.s_addr = htonl(kClientAddress);
  local.sin_port = htons(fleet_.packet_port());
  if (bind(client_socket_, reinterpret_cast<sockaddr*>(&local),
           sizeof(local)) != 0) {
    return false;
  }
  loop_.Watch(client_socket_, [this] {
    uint8_t buf[2048];
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const ssize_t n = recvfrom(client_socket_, buf, sizeof(buf), MSG_DONTWAIT,
                               reinterpret_cast<sockaddr*>(&from), &length);
    if (n <= 0) {
      return;
    }
    const auto packet = Decode({buf, static_cast<size_t>(n)});
    if (!packet) {
      return;
    }
    const Vm* vm = fleet_.Find(ntohl(from.sin_addr.s_addr));
    loop_.After(kClientDelay, [this, packet = *packet, vm] {
      OnClientPacket(packet, nullptr, vm == nullptr ? "unknown" : vm->name);
    });
  });
  std::string routes;
  for (const RequestKind& it : kinds_) {
    routes += (routes.empty() ? "" : ",") + std::string("{\"name\":\"r-") +
              it.name + "\",\"host\":\"" + AddressText(kServiceAddress) +
              "\",\"prefix\":\"/" + std::to_string(it.port) +
              "/\",\"type\":\"" +
              (it.is_idempotent ? "idempotent" : "non_idempotent") +
              "\",\"timeout_ms\":" +
              std::to_string(static_cast<int>(it.deadline_ms)) +
              ",\"target_latency_ms\":300,\"priority\":1,\"service\":\"" +
              it.service + "\",\"max_attempts\":2}";
  }
  store_.Put("op/config",
             "{\"version\":7,\"routes\":[" + routes +
                 "],\"services\":[],\"limits\":{\"idle_timeout_ms\":15000}}");
  return true;
}

Server* Flows::AddServer(const std::string& service, const std::string& zone) {
  auto server = std::make_unique<Server>();
  server->instance = random_();
  char id[32];
  std::snprintf(id, sizeof(id), "i-%016llx",
                static_cast<unsigned long long>(server->instance));
  server->id = id;
  server->service = service;
  server->zone = zone;
  server->address = kServerNetwork + static_cast<uint32_t>(servers_.size()) + 1;
  server->born_ms = NowMs();
  server->socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_addr.s_addr = htonl(server->address);
  socklen_t length = sizeof(local);
  static_cast<void>(
      bind(server->socket, reinterpret_cast<sockaddr*>(&local), length));
  getsockname(server->socket, reinterpret_cast<sockaddr*>(&local), &length);
  server->port = ntohs(local.sin_port);
  Server* it = server.get();
  servers_.push_back(std::move(server));
  loop_.Watch(it->socket, [this, it] { ReceiveAtServer(*it); });
  Report(*it);
  Heartbeat(*it);
  return it;
}

std::string Flows::KeyOf(const Server& server) {
  return "servers/" + server.id;
}

std::string Flows::EntryOf(const Server& server) {
  return "{\"service\":\"" + server.service + "\",\"address\":\"" +
         AddressText(server.address) + ":" + std::to_string(server.port) +
         "\",\"zone\":\"" + server.zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(server.slots) +
         ",\"state\":\"" + (server.is_draining ? "draining" : "ready") +
         "\",\"warmup_left_ms\":0,\"seq\":" + std::to_string(server.sequence) +
         ",\"born\":" + std::to_string(server.born_ms) + "}";
}

void Flows::Report(Server& server) {
  server.written = EntryOf(server);
  store_.Put(KeyOf(server), server.written);
}

// An entry changes when more than the sequence number does: after another
// report has replaced it.
void Flows::Heartbeat(Server& server) {
  if (!server.is_alive) {
    return;
  }
  ++server.sequence;
  if (store_.ValueOf(KeyOf(server)) != server.written) {
    Report(server);
    record_(server.id + " corrects its entry");
  }
  loop_.After(kHeartbeat, [this, &server, born = server.born_ms] {
    if (server.born_ms == born) {
      Heartbeat(server);
    }
  });
}

void Flows::Drain(Server& server, Duration stay) {
  server.is_draining = true;
  ++server.sequence;
  Report(server);
  // The answer of the store, which is the acknowledgement.
  server.draining_since = Clock::now();
  record_(server.id + " drains");
  loop_.After(stay, [this, &server] {
    server.is_alive = false;
    loop_.Unwatch(server.socket);
    close(std::exchange(server.socket, -1));
    store_.Remove(KeyOf(server));
    record_(server.id + " has left");
  });
}

void Flows::PutForeignCopy(const Server& server, int round) {
  const std::string key = "servers/inv-" + server.id;
  store_.Put(
      key,
      "{\"service\":\"" + server.service + "\",\"address\":\"" +
          AddressText(server.address) + ":" + std::to_string(server.port) +
          "\",\"zone\":\"" + server.zone +
          "\",\"version\":\"v1\",\"slots\":" + std::to_string(server.slots) +
          ",\"state\":\"ready\",\"round\":" + std::to_string(round) + "}");
  record_("another writer puts " + key);
}

void Flows::CrashAndRestart(Server& server, Duration down) {
  record_(server.id + " crashes");
  server.is_alive = false;
  server.flows.clear();
  server.queue.clear();
  loop_.After(down, [this, &server] {
    server.is_alive = true;
    server.running = 0;
    server.sequence = 1;
    server.born_ms = NowMs();
    Report(server);
    record_(server.id + " has started again under its id");
    Heartbeat(server);
  });
}

void Flows::ReportLate(Server& server, Duration delay) {
  const std::string value = EntryOf(server);
  record_("the store loses its answer to a report of " + server.id);
  loop_.After(delay, [this, &server, value] {
    store_.Put(KeyOf(server), value);
    record_("the store executes that report of " + server.id);
  });
}

void Flows::BeginTraffic() {
  is_traffic_on_ = true;
  ScheduleNextFlow();
}

void Flows::ScheduleNextFlow() {
  std::exponential_distribution<double> gap(traffic_.flows_per_second);
  const auto delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(random_)));
  loop_.After(delay, [this] {
    if (is_traffic_on_) {
      OpenFlow();
      ScheduleNextFlow();
    }
  });
}

void Flows::OpenFlow() {
  auto flow = std::make_unique<ClientFlow>();
  double total = 0;
  for (const RequestKind& it : kinds_) {
    total += it.share;
  }
  double at = std::uniform_real_distribution<double>(0, total)(random_);
  for (const RequestKind& it : kinds_) {
    flow->kind = &it;
    at -= it.share;
    if (at < 0) {
      break;
    }
  }
  const std::vector<Vm>& vms = fleet_.vms();
  flow->zone = vms[random_() % vms.size()].zone;
  flow->address = kClientAddress;
  flow->port = next_port_++;
  if (next_port_ == 0) {
    next_port_ = kFirstClientPort;
  }
  flow->key = {flow->address, flow->port, flow->kind->port};
  flow->number = ++opened_;
  flow->initial = static_cast<uint32_t>(random_());
  flow->sequence = flow->initial;
  flow->requests_left = traffic_.requests_per_flow;
  ClientFlow* it = flow.get();
  if (Find(it->key) != nullptr) {
    return;  // all ports are in use
  }
  flows_[it->key] = std::move(flow);
  SendSyn(*it);
  for (size_t copy = 0; copy < std::size(kSynCopies); ++copy) {
    loop_.After(
        kSynCopies[copy], [this, key = it->key, number = it->number, copy] {
          ClientFlow* same = Find(key);
          if (same != nullptr && same->number == number && !same->has_answer) {
            Packet syn;
            syn.flags = kSyn;
            syn.sequence = same->sequence;
            syn.acknowledged = static_cast<uint32_t>(copy) + 1;
            SendFromClient(*same, syn);
          }
        });
  }
  loop_.After(kOpenTimeout, [this, key = it->key, number = it->number] {
    ClientFlow* same = Find(key);
    if (same != nullptr && same->number == number && !same->has_answer) {
      ++never_opened_;
      EndFlow(*same, "never opened");
    }
  });
}

void Flows::SendSyn(ClientFlow& flow) {
  Packet syn;
  syn.flags = kSyn;
  syn.sequence = flow.sequence;
  SendFromClient(flow, syn);
}

// The router chooses the VM when the packet arrives there.
void Flows::SendFromClient(ClientFlow& flow, Packet packet) {
  packet.source = flow.address;
  packet.source_port = flow.port;
  packet.destination = kServiceAddress;
  packet.destination_port = flow.kind->port;
  packet.echo = flow.echo;
  loop_.After(kClientDelay, [this, packet, key = flow.key, zone = flow.zone] {
    const uint64_t hash = (uint64_t{packet.source} << 32) ^
                          (uint64_t{packet.source_port} << 16) ^
                          packet.destination_port ^ packet.destination;
    const Vm* vm = fleet_.Route(hash, zone);
    Trace(key, "client -> " + (vm == nullptr ? "nobody" : vm->name) + ": " +
                   Describe(packet));
    if (vm == nullptr) {
      return;
    }
    const std::vector<uint8_t> bytes = Encode(packet);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(vm->address);
    to.sin_port = htons(fleet_.packet_port());
    sendto(client_socket_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  });
}

void Flows::BeginRequest(ClientFlow& flow) {
  flow.attempt = next_attempt_++;
  flow.request =
      std::string(flow.kind->is_idempotent ? "GET" : "POST") + " /" +
      flow.kind->name + " HTTP/1.1\r\nHost: " + AddressText(kServiceAddress) +
      "\r\nX-Marjoramhall-Request-Attempt-Id: " + std::to_string(flow.attempt) +
      "\r\nContent-Length: " + std::to_string(flow.kind->request_bytes) +
      "\r\n\r\n";
  flow.request.append(flow.kind->request_bytes, 'q');
  flow.request_begin = flow.sequence;
  flow.sequence += static_cast<uint32_t>(flow.request.size());
  flow.request_acknowledged = false;
  flow.is_waiting = true;
  flow.request_sent_at = Clock::now();
  flow.response_received = 0;
  ++sent_;
  record_("sent attempt " + std::to_string(flow.attempt) + " " +
          flow.kind->name + " on flow " + std::to_string(flow.number));
  SendRequest(flow, kFirstRetry);
  loop_.After(
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(flow.kind->deadline_ms)),
      [this, key = flow.key, number = flow.number, attempt = flow.attempt] {
        ClientFlow* same = Find(key);
        if (same != nullptr && same->number == number &&
            same->attempt == attempt && same->is_waiting) {
          ++lost_;
          EndFlow(*same, "deadline of attempt " + std::to_string(attempt));
        }
      });
}

// A request fits into one packet.
void Flows::SendRequest(ClientFlow& flow, Duration retry_delay) {
  Packet packet;
  packet.flags = kAck;
  packet.sequence = flow.request_begin;
  packet.acknowledged = flow.expected;
  packet.data = flow.request;
  SendFromClient(flow, packet);
  loop_.After(retry_delay, [this, key = flow.key, number = flow.number,
                            attempt = flow.attempt, retry_delay] {
    ClientFlow* same = Find(key);
    if (same != nullptr && same->number == number && same->attempt == attempt &&
        !same->request_acknowledged) {
      SendRequest(*same, std::min(retry_delay * 2, kMaxRetry));
    }
  });
}

void Flows::AcknowledgeAsClient(ClientFlow& flow) {
  flow.unacknowledged = 0;
  ++flow.ack_timer;
  Packet ack;
  ack.flags = kAck;
  ack.sequence = flow.sequence;
  ack.acknowledged = flow.expected;
  SendFromClient(flow, ack);
}

void Flows::OnClientPacket(const Packet& packet,
                           const Server* sender,
                           const std::string& sender_name) {
  const FlowKey key{packet.destination, packet.destination_port,
                    packet.source_port};
  ClientFlow* flow = Find(key);
  if (flow == nullptr) {
    return;
  }
  Trace(key, sender_name + " -> client: " + Describe(packet));
  if ((packet.flags & kRst) != 0) {
    OnReset(*flow, sender, sender_name);
    return;
  }
  if ((packet.flags & kSyn) != 0 && packet.acknowledged != flow->initial + 1) {
    return;  // the answer to a SYN of another flow from this port
  }
  flow->echo = packet.echo;
  if ((packet.flags & kSyn) != 0) {
    if (flow->has_answer) {
      second_answers_ += packet.sequence != flow->server_initial ? 1 : 0;
      return;
    }
    flow->has_answer = true;
    flow->server_initial = packet.sequence;
    flow->sequence += 1;
    flow->expected = packet.sequence + 1;
    BeginRequest(*flow);
    return;
  }
  if (packet.acknowledged == flow->sequence) {
    flow->request_acknowledged = true;
  }
  if (!packet.data.empty()) {
    OnResponseData(*flow, packet);
  }
}

void Flows::OnResponseData(ClientFlow& flow, const Packet& packet) {
  if (packet.sequence != flow.expected) {
    AcknowledgeAsClient(flow);
    return;
  }
  flow.expected += static_cast<uint32_t>(packet.data.size());
  flow.response_received += packet.data.size();
  const bool is_complete =
      flow.is_waiting && flow.response_received >= flow.kind->response_bytes;
  if (!is_complete) {
    if (++flow.unacknowledged >= 2) {
      AcknowledgeAsClient(flow);
    } else {
      loop_.After(kAckDelay, [this, key = flow.key, number = flow.number,
                              timer = ++flow.ack_timer] {
        ClientFlow* same = Find(key);
        if (same != nullptr && same->number == number &&
            same->ack_timer == timer && same->unacknowledged > 0) {
          AcknowledgeAsClient(*same);
        }
      });
    }
    return;
  }
  flow.is_waiting = false;
  flow.request_acknowledged = true;
  ++answered_;
  record_("answered attempt " + std::to_string(flow.attempt));
  if (--flow.requests_left > 0) {
    AcknowledgeAsClient(flow);
    const auto range = std::chrono::duration_cast<std::chrono::microseconds>(
        traffic_.max_pause - traffic_.min_pause);
    const auto extra = std::chrono::microseconds(
        range.count() > 0
            ? static_cast<int64_t>(random_() %
                                   static_cast<uint64_t>(range.count()))
            : 0);
    loop_.After(traffic_.min_pause + extra,
                [this, key = flow.key, number = flow.number] {
                  ClientFlow* same = Find(key);
                  if (same != nullptr && same->number == number) {
                    BeginRequest(*same);
                  }
                });
    return;
  }
  flow.is_closing = true;
  Packet fin;
  fin.flags = kFin | kAck;
  fin.sequence = flow.sequence;
  fin.acknowledged = flow.expected;
  SendFromClient(flow, fin);
  EndFlow(flow, "complete");
}

void Flows::OnReset(ClientFlow& flow,
                    const Server* sender,
                    const std::string& sender_name) {
  ++ended_by_reset_;
  const Server* own = flow.server;
  if (own != nullptr && own->is_alive && sender != own && !flow.is_closing) {
    Break(&Broken::flow,
          "FLOW (a): the client of flow " + std::to_string(flow.number) +
              ", which is open at " + own->id + ", got a reset of " +
              sender_name +
              (flow.is_waiting ? "; attempt " + std::to_string(flow.attempt) +
                                     " " + flow.kind->name + " is not answered"
                               : ""));
    for (const std::string& it : flow.trace) {
      record_("  " + it);
    }
  }
  EndFlow(flow, "reset by " + sender_name);
}

void Flows::EndFlow(ClientFlow& flow, const std::string& how) {
  if (how != "complete") {
    record_("flow " + std::to_string(flow.number) + " ends: " + how);
  }
  flows_.erase(FlowKey(flow.key));
}

void Flows::ReceiveAtServer(Server& server) {
  uint8_t buf[2048];
  sockaddr_in from{};
  socklen_t length = sizeof(from);
  const ssize_t n = recvfrom(server.socket, buf, sizeof(buf), MSG_DONTWAIT,
                             reinterpret_cast<sockaddr*>(&from), &length);
  if (n < 8 || !server.is_alive) {
    return;
  }
  uint64_t instance = 0;
  for (size_t i = 0; i < 8; ++i) {
    instance = (instance << 8) | buf[i];
  }
  const auto packet = Decode({buf + 8, static_cast<size_t>(n) - 8});
  if (!packet || !HasValidSum(*packet)) {
    Break(&Broken::unasked,
          "UNASKED: " + server.id + " got a packet that no client wrote so");
    return;
  }
  TrackPath(server, *packet);
  if (instance != 0 && instance != server.instance) {
    return;  // not the intended server
  }
  OnServerPacket(server, *packet, fleet_.Find(ntohl(from.sin_addr.s_addr)));
}

void Flows::TrackPath(const Server& server, const Packet& packet) {
  ClientFlow* flow =
      Find({packet.source, packet.source_port, packet.destination_port});
  if (flow == nullptr || flow->server == nullptr ||
      (packet.flags & kSyn) != 0) {
    return;
  }
  if (flow->server == &server) {
    flow->strayed = 0;
    return;
  }
  if (flow->strayed++ == 0) {
    flow->strayed_since = Clock::now();
  }
  if (flow->strayed >= kReorderPackets && flow->server->is_alive &&
      Clock::now() - flow->strayed_since >= kReorderBound &&
      !std::exchange(flow->is_reported, true)) {
    Break(&Broken::flow, "FLOW (b): " + std::to_string(flow->strayed) +
                             " packets of flow " +
                             std::to_string(flow->number) +
                             " reached other servers than " + flow->server->id);
  }
}

void Flows::CheckOpening(const Server& server,
                         const Packet& packet,
                         const Vm* vm) {
  const ClientFlow* flow =
      Find({packet.source, packet.source_port, packet.destination_port});
  const std::string by = vm == nullptr ? "unknown" : vm->name;
  if (flow != nullptr && flow->kind->service != server.service) {
    Break(&Broken::route, "ROUTE: a flow for " + flow->kind->service +
                              " reached " + server.id + " of " +
                              server.service + " through " + by);
  }
  if (server.is_draining &&
      Clock::now() - server.draining_since > kDrainBound) {
    const double late = std::chrono::duration<double, std::milli>(
                            Clock::now() - server.draining_since)
                            .count();
    Break(&Broken::drain,
          "DRAIN: a flow reached " + server.id + " " +
              std::to_string(static_cast<int>(late)) +
              " ms after the store acknowledged its drain, through " + by);
  }
}

void Flows::OnServerPacket(Server& server, const Packet& packet, const Vm* vm) {
  const FlowKey key{packet.source, packet.source_port, packet.destination_port};
  Trace(key, (vm == nullptr ? "unknown" : vm->name) + " -> " + server.id +
                 ": " + Describe(packet));
  auto it = server.flows.find(key);
  if ((packet.flags & kSyn) != 0) {
    CheckOpening(server, packet, vm);
    if (it == server.flows.end() ||
        it->second.client_initial != packet.sequence) {
      Server::Flow flow;
      flow.client_initial = packet.sequence;
      flow.sequence = static_cast<uint32_t>(random_());
      flow.expected = packet.sequence + 1;
      it = server.flows.insert_or_assign(key, flow).first;
    }
    it->second.echo = packet.echo;
    if (!it->second.is_open) {
      SendSynAck(server, key, kFirstRetry);
    }
    return;
  }
  if ((packet.flags & kRst) != 0) {
    if (it != server.flows.end()) {
      server.flows.erase(it);
    }
    return;
  }
  const bool ends_handshake = it != server.flows.end() && !it->second.is_open &&
                              packet.acknowledged == it->second.sequence + 1;
  if (it == server.flows.end() || (!it->second.is_open && !ends_handshake)) {
    Packet reset;
    reset.flags = kRst;
    reset.source = packet.destination;
    reset.source_port = packet.destination_port;
    reset.destination = packet.source;
    reset.destination_port = packet.source_port;
    reset.echo = packet.echo;
    reset.sequence = packet.acknowledged;
    SendFromServer(server, reset);
    return;
  }
  Server::Flow& flow = it->second;
  flow.echo = packet.echo;
  if (ends_handshake) {
    flow.is_open = true;
    flow.sequence += 1;
    if (ClientFlow* client = Find(key);
        client != nullptr && client->server == nullptr) {
      client->server = &server;
    }
  }
  if ((packet.flags & kFin) != 0) {
    server.flows.erase(it);
    return;
  }
  if (!flow.response.empty() &&
      packet.acknowledged ==
          flow.response_begin + static_cast<uint32_t>(flow.response.size())) {
    flow.response.clear();
  }
  if (packet.data.empty()) {
    return;
  }
  if (packet.sequence == flow.expected) {
    flow.expected += static_cast<uint32_t>(packet.data.size());
    RunRequest(server, key, packet.data);
  }
  // Clients wait for a response before they send the next request, so there is
  // no second packet to wait for.
  loop_.After(kAckDelay, [this, &server, key] {
    const auto same = server.flows.find(key);
    if (same != server.flows.end()) {
      Packet ack;
      ack.flags = kAck;
      ack.sequence = same->second.sequence;
      ack.acknowledged = same->second.expected;
      ack.echo = same->second.echo;
      ack.source = kServiceAddress;
      ack.source_port = std::get<2>(key);
      ack.destination = std::get<0>(key);
      ack.destination_port = std::get<1>(key);
      SendFromServer(server, ack);
    }
  });
}

void Flows::SendFromServer(Server& server, const Packet& packet) {
  if (!server.is_alive) {
    return;
  }
  loop_.After(kClientDelay, [this, packet, &server] {
    OnClientPacket(packet, &server, server.id);
  });
}

void Flows::SendSynAck(Server& server,
                       const FlowKey& key,
                       Duration retry_delay) {
  Server::Flow& flow = server.flows.at(key);
  Packet packet;
  packet.flags = kSyn | kAck;
  packet.source = kServiceAddress;
  packet.source_port = std::get<2>(key);
  packet.destination = std::get<0>(key);
  packet.destination_port = std::get<1>(key);
  packet.echo = flow.echo;
  packet.sequence = flow.sequence;
  packet.acknowledged = flow.expected;
  SendFromServer(server, packet);
  loop_.After(retry_delay,
              [this, &server, key, retry_delay, sequence = flow.sequence] {
                const auto it = server.flows.find(key);
                if (!server.is_alive || it == server.flows.end() ||
                    it->second.is_open || it->second.sequence != sequence) {
                  return;
                }
                if (++it->second.syn_ack_retries > kServerRetries) {
                  server.flows.erase(it);
                  return;
                }
                SendSynAck(server, key, std::min(retry_delay * 2, kMaxRetry));
              });
}

void Flows::RunRequest(Server& server,
                       const FlowKey& key,
                       const std::string& text) {
  if (server.running >= server.slots) {
    server.queue.emplace_back(key, text);
    return;
  }
  ++server.running;
  const std::string field = "Request-Attempt-Id: ";
  const uint64_t attempt = std::strtoull(
      text.c_str() + text.find(field) + field.size(), nullptr, 10);
  record_("run attempt " + std::to_string(attempt) + " at " + server.id);
  if (!run_attempts_.insert(attempt).second) {
    Break(&Broken::unasked,
          "UNASKED: attempt " + std::to_string(attempt) + " ran twice");
  }
  const RequestKind* kind = &kinds_.front();
  for (const RequestKind& it : kinds_) {
    kind = it.port == std::get<2>(key) ? &it : kind;
  }
  // Work times vary by half of their mean.
  constexpr double kSigma = 0.47;
  std::lognormal_distribution<double> work(
      std::log(kind->work_ms) - kSigma * kSigma / 2, kSigma);
  const auto span = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(work(random_)));
  loop_.After(span, [this, &server, key, bytes = kind->response_bytes,
                     born = server.born_ms] {
    if (server.born_ms != born || !server.is_alive) {
      return;  // it has crashed
    }
    --server.running;
    const auto it = server.flows.find(key);
    if (it != server.flows.end()) {
      Server::Flow& flow = it->second;
      flow.response.assign(bytes, 'r');
      flow.response_begin = flow.sequence;
      flow.response_retries = 0;
      flow.sequence += static_cast<uint32_t>(bytes);
      ++flow.timer;
      SendResponse(server, key, kFirstRetry);
    }
    RunNext(server);
  });
}

void Flows::RunNext(Server& server) {
  if (!server.queue.empty()) {
    const auto next = std::move(server.queue.front());
    server.queue.pop_front();
    RunRequest(server, next.first, next.second);
  }
}

// Responses fit into the window of 16 packets.
void Flows::SendResponse(Server& server,
                         const FlowKey& key,
                         Duration retry_delay) {
  const Server::Flow& flow = server.flows.at(key);
  for (size_t at = 0; at < flow.response.size(); at += kMaxDataBytes) {
    Packet packet;
    packet.flags = kAck;
    packet.source = kServiceAddress;
    packet.source_port = std::get<2>(key);
    packet.destination = std::get<0>(key);
    packet.destination_port = std::get<1>(key);
    packet.echo = flow.echo;
    packet.sequence = flow.response_begin + static_cast<uint32_t>(at);
    packet.acknowledged = flow.expected;
    packet.data = flow.response.substr(at, kMaxDataBytes);
    SendFromServer(server, packet);
  }
  loop_.After(retry_delay,
              [this, &server, key, retry_delay, timer = flow.timer] {
                const auto it = server.flows.find(key);
                if (!server.is_alive || it == server.flows.end() ||
                    it->second.timer != timer || it->second.response.empty()) {
                  return;
                }
                if (++it->second.response_retries > kServerRetries) {
                  server.flows.erase(it);
                  return;
                }
                SendResponse(server, key, std::min(retry_delay * 2, kMaxRetry));
              });
}

std::string Flows::Summary() const {
  return "flows " + std::to_string(opened_) + ", requests sent " +
         std::to_string(sent_) + ", answered " + std::to_string(answered_) +
         ", unanswered at the deadline " + std::to_string(lost_) +
         ", flows that never opened " + std::to_string(never_opened_) +
         ", flows ended by a reset " + std::to_string(ended_by_reset_) +
         ", second SYN+ACKs on open flows " + std::to_string(second_answers_) +
         "; broken: FLOW " + std::to_string(broken_.flow) + ", DRAIN " +
         std::to_string(broken_.drain) + ", ROUTE " +
         std::to_string(broken_.route) + ", UNASKED " +
         std::to_string(broken_.unasked);
}

}  // namespace marjoramhall::review

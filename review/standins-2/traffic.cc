// Flows as servers and clients see them.
#include "traffic.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

// Address of all clients; their ports differ.
constexpr uint32_t kClientIp = LoopbackIp(73, 1);
constexpr double kFirstRetryMs = 200;
constexpr double kSecondSynMs = 600;
constexpr double kSynLimitMs = 1400;
constexpr double kMaxRetryMs = 1600;
constexpr size_t kMaxQueue = 12;

uint64_t InstanceOf(const std::string& id) {
  return std::strtoull(id.substr(id.rfind('-') + 1).c_str(), nullptr, 16);
}

uint64_t HashOf(uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31);
}

}  // namespace

Server::Server(ServerOptions options, Store& store, uint16_t client_port)
    : options_(std::move(options)),
      store_(store),
      client_port_(client_port),
      instance_(InstanceOf(options_.id)),
      born_ms_(UnixMs()),
      started_at_ms_(NowMs()),
      random_(instance_) {}

Server::~Server() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

bool Server::Open() {
  fd_ = OpenUdp(options_.address);
  return fd_ >= 0;
}

std::string Server::Entry(const std::string& service,
                          const Address& address) const {
  const double warm_up_left =
      std::max(0.0, options_.warm_up_ms - (NowMs() - started_at_ms_));
  return R"("service":")" + service + R"(","address":")" + address.ToString() +
         R"(","zone":")" + options_.zone + R"(","version":"v1","slots":)" +
         std::to_string(options_.slots) +
         R"(,"state":"ready","warmup_left_ms":)" +
         std::to_string(static_cast<int64_t>(warm_up_left)) + R"(,"born":)" +
         std::to_string(born_ms_);
}

void Server::Report() {
  const std::string content = Entry(options_.service, options_.address);
  store_.PutServer(
      Key(), content,
      "{" + content + R"(,"seq":)" + std::to_string(++sequence_) + "}");
}

void Server::Step() {
  if (NowMs() >= next_report_ms_) {
    next_report_ms_ = NowMs() + options_.heartbeat_ms;
    Report();
  }
  std::string bytes;
  Address from;
  const std::string own = EncodeInstance(instance_);
  while (ReceiveUdp(fd_, &bytes, &from)) {
    Packet packet;
    const bool is_own = bytes.starts_with(own);
    if (bytes.size() < own.size() ||
        !DecodePacket(std::string_view(bytes).substr(own.size()), &packet) ||
        !IsGenuine(packet)) {
      ++forged_packets_;
      continue;
    }
    if (on_arrival_) {
      on_arrival_(packet, is_own);
    }
    if (is_own) {  // a packet for another server is ignored
      OnPacket(packet);
    }
  }
  RunRequests();
}

Server::FlowKey Server::KeyOf(const Packet& packet) {
  return {(uint64_t{packet.source.ip} << 16) | packet.source.port,
          (uint64_t{packet.destination.ip} << 16) | packet.destination.port};
}

void Server::OnPacket(const Packet& packet) {
  const FlowKey key = KeyOf(packet);
  const auto it = flows_.find(key);
  if (packet.Has(kSyn)) {
    Flow& flow = flows_[key];
    if (flow.sequence == 0) {
      flow.sequence = static_cast<uint32_t>(random_()) | 1U;
      flow.next_sequence = flow.sequence + 1;
      flow.client_sequence = packet.sequence + 1;
    }
    if (!flow.is_open) {
      Reply(packet, kSyn | kAck, flow.sequence, flow.client_sequence, "");
    }
    return;
  }
  if (it == flows_.end()) {
    if (packet.Has(kFin)) {
      Reply(packet, kAck, packet.acknowledged, packet.sequence + 1, "");
    } else if (!packet.Has(kReset)) {
      Reply(packet, kReset, packet.acknowledged, 0, "");
    }
    return;
  }
  Flow& flow = it->second;
  if (packet.Has(kReset)) {
    flows_.erase(it);
    return;
  }
  if (!flow.is_open && packet.acknowledged != flow.sequence + 1) {
    Reply(packet, kReset, packet.acknowledged, 0, "");
    return;
  }
  flow.is_open = true;
  if (packet.Has(kFin)) {
    Reply(packet, kFin | kAck, packet.acknowledged, packet.sequence + 1, "");
    flows_.erase(it);
    return;
  }
  if (packet.data.empty()) {
    return;
  }
  if (packet.sequence == flow.client_sequence) {
    flow.client_sequence += static_cast<uint32_t>(packet.data.size());
    flow.next_sequence += static_cast<uint32_t>(flow.response.size());
    flow.response.clear();
    if (queue_.size() < kMaxQueue) {
      queue_.push_back({key, packet, 0});
    }
  }
  Reply(packet, kAck, flow.next_sequence, flow.client_sequence, flow.response);
}

void Server::RunRequests() {
  const double now = NowMs();
  for (auto it = running_.begin(); it != running_.end();) {
    if (now < it->ends_at_ms) {
      ++it;
      continue;
    }
    if (const auto flow = flows_.find(it->key); flow != flows_.end()) {
      flow->second.response =
          "HTTP/1.1 200 OK\r\nX-Marjoramhall-Response-Signature: s\r\n"
          "Content-Length: 2\r\n\r\nok";
      Reply(it->request, kAck, flow->second.next_sequence,
            flow->second.client_sequence, flow->second.response);
    }
    it = running_.erase(it);
  }
  while (running_.size() < options_.slots && !queue_.empty()) {
    Work work = std::move(queue_.front());
    queue_.pop_front();
    work.ends_at_ms =
        now + options_.work_ms *
                  std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    running_.push_back(std::move(work));
    ++requests_run_;
  }
}

void Server::Reply(const Packet& to,
                   uint8_t flags,
                   uint32_t sequence,
                   uint32_t acknowledged,
                   std::string data) {
  Packet packet;
  packet.flags = flags;
  packet.source = to.destination;
  packet.destination = to.source;
  packet.echo = to.echo;
  packet.sequence = sequence;
  packet.acknowledged = acknowledged;
  packet.data = std::move(data);
  SendUdp(fd_, {to.source.ip, client_port_}, EncodePacket(packet));
}

const Vm& VmFor(const Vms& vms, const Address& client) {
  const Vm* best = nullptr;
  uint64_t best_score = 0;
  for (const Vm& it : vms.all()) {
    const uint64_t score = HashOf((uint64_t{it.packets.ip} << 32) ^
                                  client.port ^ (uint64_t{client.ip} << 16));
    if (it.in_rotation && (best == nullptr || score > best_score)) {
      best = &it;
      best_score = score;
    }
  }
  // Without any VM in the rotation, the routers use all of them.
  return best != nullptr ? *best : vms.all()[client.port % vms.all().size()];
}

Clients::Clients(Vms& vms,
                 std::vector<RouteOptions> routes,
                 double requests_per_second)
    : vms_(vms),
      routes_(std::move(routes)),
      interval_ms_(1000 / requests_per_second),
      random_(41) {}

Clients::~Clients() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

bool Clients::Open() {
  address_ = {kClientIp, vms_.packet_port()};
  fd_ = OpenUdp(address_);
  return fd_ >= 0;
}

double Clients::DeadlineOf(const Request& request) const {
  for (const RouteOptions& it : routes_) {
    if (it.address == request.route) {
      return it.deadline_ms;
    }
  }
  return 0;
}

void Clients::Send(const Flow& flow,
                   uint8_t flags,
                   uint32_t sequence,
                   uint32_t acknowledged,
                   std::string data) {
  Packet packet;
  packet.flags = flags;
  packet.source = flow.client;
  packet.destination = requests_[flow.request].route;
  packet.echo = flow.echo;
  packet.sequence = sequence;
  packet.acknowledged = acknowledged;
  packet.data = std::move(data);
  SendUdp(fd_, VmFor(vms_, flow.client).packets, EncodePacket(packet));
}

void Clients::OpenFlow(size_t request) {
  const uint16_t port = next_port_;
  next_port_ = next_port_ == 60'000 ? 20'000 : next_port_ + 1;
  Flow& flow = flows_[port];
  flow = Flow{};
  flow.request = request;
  flow.client = {kClientIp, port};
  flow.sequence = static_cast<uint32_t>(random_());
  flow.opened_at_ms = NowMs();
  SendSyn(flow);
}

void Clients::SendSyn(Flow& flow) {
  Send(flow, kSyn, flow.sequence, flow.syn_copies, "");
  ++flow.syn_copies;
  flow.next_send_ms =
      flow.opened_at_ms + (flow.syn_copies == 1   ? kFirstRetryMs
                           : flow.syn_copies == 2 ? kSecondSynMs
                                                  : kSynLimitMs);
}

void Clients::SendRequest(Flow& flow) {
  Send(flow, kAck, flow.sequence + 1, flow.server_sequence + 1,
       "GET /job HTTP/1.1\r\nHost: a\r\n"
       "X-Marjoramhall-Request-Attempt-Id: " +
           std::to_string(flow.request) + "\r\n\r\n");
  flow.next_send_ms = NowMs() + flow.retry_delay_ms;
  flow.retry_delay_ms = std::min(flow.retry_delay_ms * 2, kMaxRetryMs);
}

void Clients::Step(bool sends) {
  const double now = NowMs();
  if (sends && now >= next_request_ms_) {
    next_request_ms_ =
        std::max(next_request_ms_ + interval_ms_, now - 10 * interval_ms_);
    uint32_t total = 0;
    for (const RouteOptions& it : routes_) {
      total += it.share;
    }
    uint64_t choice = random_() % total;
    size_t route = 0;
    while (choice >= routes_[route].share) {
      choice -= routes_[route++].share;
    }
    Request request;
    request.sent_at_ms = now;
    request.route = routes_[route].address;
    requests_.push_back(request);
    OpenFlow(requests_.size() - 1);
  }
  std::string bytes;
  Address from;
  while (ReceiveUdp(fd_, &bytes, &from)) {
    Packet packet;
    if (!DecodePacket(bytes, &packet)) {
      continue;
    }
    const auto it = flows_.find(packet.destination.port);
    if (it != flows_.end() &&
        requests_[it->second.request].route == packet.source &&
        OnPacket(it->second, packet)) {
      flows_.erase(packet.destination.port);
    }
  }
  for (auto it = flows_.begin(); it != flows_.end();) {
    Flow& flow = it->second;
    Request& request = requests_[flow.request];
    if (now - request.sent_at_ms >= DeadlineOf(request)) {
      request.outcome = Outcome::kNoAnswer;
      it = flows_.erase(it);
      continue;
    }
    if (now >= flow.next_send_ms) {
      if (flow.is_open) {
        SendRequest(flow);
      } else if (now - flow.opened_at_ms >= kSynLimitMs) {
        OnRefused(flow);
        it = flows_.erase(it);
        continue;
      } else {
        SendSyn(flow);
      }
    }
    ++it;
  }
}

bool Clients::OnPacket(Flow& flow, const Packet& packet) {
  if (packet.Has(kReset)) {
    OnRefused(flow);
    return true;
  }
  flow.echo = packet.echo;
  if (packet.Has(kSyn)) {
    if (!flow.is_open) {
      flow.is_open = true;
      flow.server_sequence = packet.sequence;
      SendRequest(flow);
    }
    return false;
  }
  if (packet.data.empty()) {
    return false;
  }
  requests_[flow.request].outcome = Outcome::kServed;
  Send(flow, kAck | kFin, packet.acknowledged,
       packet.sequence + static_cast<uint32_t>(packet.data.size()), "");
  return true;
}

// All requests of these clients may be repeated.
void Clients::OnRefused(const Flow& flow) {
  Request& request = requests_[flow.request];
  if (request.attempts > kRetries) {
    request.outcome = Outcome::kRefused;
    return;
  }
  ++request.attempts;
  OpenFlow(flow.request);
}

}  // namespace review

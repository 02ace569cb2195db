// Stand-ins for servers, clients and the platform's routers. A client opens a
// flow for each request, of one packet each way. Used on one thread.
#ifndef REVIEW_STANDINS_2_TRAFFIC_H_
#define REVIEW_STANDINS_2_TRAFFIC_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "packet.h"
#include "store.h"
#include "support.h"
#include "vms.h"

namespace review {

struct ServerOptions {
  std::string id;  // ends with the hexadecimal number of the instance
  std::string service;
  std::string zone;
  Address address;
  double work_ms = 0;  // mean; the work of a request is 0.5 to 1.5 times that
  uint32_t slots = 3;
  double heartbeat_ms = 770;
  double warm_up_ms = 2000;
};

// A server: answers SYNs, runs requests in its slots, and reports itself to the
// store.
class Server {
 public:
  Server(ServerOptions options, Store& store, uint16_t client_port);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Open();
  void Step();
  int socket_fd() const { return fd_; }
  const ServerOptions& options() const { return options_; }
  int64_t born_ms() const { return born_ms_; }
  uint64_t instance() const { return instance_; }
  std::string Key() const { return "servers/" + options_.id; }
  // The entry, with another service and address if they are given.
  std::string Entry(const std::string& service, const Address& address) const;

  uint64_t requests_run() const { return requests_run_; }
  // Packets that were no packets of their sender.
  uint64_t forged_packets() const { return forged_packets_; }
  // Called for each genuine packet: `is_own` if it names this server.
  void set_on_arrival(std::function<void(const Packet&, bool is_own)> hook) {
    on_arrival_ = std::move(hook);
  }

 private:
  using FlowKey = std::pair<uint64_t, uint64_t>;
  struct Flow {
    uint32_t client_sequence = 0;  // next byte that is expected
    uint32_t sequence = 0;         // of the SYN
    bool is_open = false;
    uint32_t next_sequence = 0;  // of the next response
    std::string response;        // the last one, for retransmissions
  };
  struct Work {
    FlowKey key;
    Packet request;
    double ends_at_ms = 0;
  };

  static FlowKey KeyOf(const Packet& packet);
  void OnPacket(const Packet& packet);
  void Reply(const Packet& to,
             uint8_t flags,
             uint32_t sequence,
             uint32_t acknowledged,
             std::string data);
  void Report();
  void RunRequests();

  const ServerOptions options_;
  Store& store_;
  const uint16_t client_port_;
  const uint64_t instance_;
  const int64_t born_ms_;
  const double started_at_ms_;
  std::mt19937_64 random_;
  std::function<void(const Packet&, bool is_own)> on_arrival_;
  int fd_ = -1;
  std::map<FlowKey, Flow> flows_;
  std::deque<Work> queue_;
  std::list<Work> running_;
  uint64_t sequence_ = 0;  // of the reports
  double next_report_ms_ = 0;
  uint64_t requests_run_ = 0;
  uint64_t forged_packets_ = 0;
};

// The VM in the rotation that the routers choose for a client.
const Vm& VmFor(const Vms& vms, const Address& client);

// What happened to a request.
enum class Outcome { kPending, kServed, kRefused, kNoAnswer };

struct Request {
  double sent_at_ms = 0;
  Address route;
  Outcome outcome = Outcome::kPending;
  int attempts = 1;
};

struct RouteOptions {
  Address address;
  double deadline_ms = 0;
  uint32_t share = 1;  // of the requests
};

// Clients and routers.
class Clients {
 public:
  Clients(Vms& vms,
          std::vector<RouteOptions> routes,
          double requests_per_second);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  bool Open();
  // Opens requests if `sends` is set.
  void Step(bool sends);
  int socket_fd() const { return fd_; }
  const std::deque<Request>& requests() const { return requests_; }

 private:
  static constexpr int kRetries = 2;

  struct Flow {
    size_t request = 0;  // index in requests_
    Address client;
    uint32_t sequence = 0;  // of the SYN
    uint32_t server_sequence = 0;
    uint32_t echo = 0;
    bool is_open = false;
    uint32_t syn_copies = 0;
    double opened_at_ms = 0;
    double next_send_ms = 0;
    double retry_delay_ms = 200;
  };

  void OpenFlow(size_t request);
  void SendSyn(Flow& flow);
  void SendRequest(Flow& flow);
  void Send(const Flow& flow,
            uint8_t flags,
            uint32_t sequence,
            uint32_t acknowledged,
            std::string data);
  // Returns whether the flow has ended.
  bool OnPacket(Flow& flow, const Packet& packet);
  void OnRefused(const Flow& flow);
  double DeadlineOf(const Request& request) const;

  Vms& vms_;
  const std::vector<RouteOptions> routes_;
  const double interval_ms_;
  std::mt19937_64 random_;
  int fd_ = -1;
  Address address_;
  std::deque<Request> requests_;
  std::map<uint16_t, Flow> flows_;  // by the client's port
  uint16_t next_port_ = 20'000;
  double next_request_ms_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_TRAFFIC_H_

// Clients and servers, which exchange flows of packets through the VMs, and the
// checks of the rules on what they see.
//
// Both ends follow PROTOCOL.md: each repeats the last echo that it received on
// a flow, acknowledges every second packet (a single one after 40 ms), and
// retransmits after 200 ms, doubling up to 1.6 s. A server answers a SYN with a
// SYN+ACK of its own, and a packet of a flow that it does not hold with a
// reset.
#ifndef MARJORAMHALL_REVIEW_STANDINS_FLOWS_H_
#define MARJORAMHALL_REVIEW_STANDINS_FLOWS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fleet.h"
#include "loop.h"
#include "packet.h"
#include "store.h"

namespace marjoramhall::review {

// A kind of request, and the route that takes it.
struct RequestKind {
  std::string name;
  std::string service;
  bool is_idempotent = true;
  size_t request_bytes = 0;
  size_t response_bytes = 0;
  double work_ms = 0;
  double deadline_ms = 0;
  double share = 1;  // of the flows
  uint16_t port = 0;
};

struct TrafficOptions {
  double flows_per_second = 100;
  // Requests of a flow, with a pause before each but the first.
  int requests_per_flow = 1;
  Duration min_pause{0};
  Duration max_pause{0};
};

struct Server;
struct ClientFlow;

// Broken rules, by name.
struct Broken {
  size_t flow = 0;
  size_t drain = 0;
  size_t route = 0;
  size_t unasked = 0;
};

class Flows {
 public:
  Flows(Loop& loop,
        Fleet& fleet,
        Store& store,
        std::vector<RequestKind> kinds,
        TrafficOptions traffic,
        uint64_t seed,
        RecordHook record);
  ~Flows();
  Flows(const Flows&) = delete;
  Flows& operator=(const Flows&) = delete;

  // Opens the sockets of the clients, and writes the configuration. Called
  // after Fleet::Open().
  bool Open();
  // Starts a server, which registers itself in the store.
  Server* AddServer(const std::string& service, const std::string& zone);
  // The server reports that it drains, and leaves `stay` later.
  void Drain(Server& server, Duration stay);
  // Another program writes what it knows of the server under a key of its own:
  // a part of the fields, and the number of its round.
  void PutForeignCopy(const Server& server, int round);

  // The server crashes and starts again under its id.
  void CrashAndRestart(Server& server, Duration down);
  // The server reports its state again, the store's answer is lost, and the
  // store executes the call `delay` later.
  void ReportLate(Server& server, Duration delay);

  void BeginTraffic();
  void EndTraffic() { is_traffic_on_ = false; }

  const Broken& broken() const { return broken_; }
  std::string Summary() const;

 private:
  using FlowKey = std::tuple<uint32_t, uint16_t, uint16_t>;

  void OpenFlow();
  void ScheduleNextFlow();
  void SendFromClient(ClientFlow& flow, Packet packet);
  void SendSyn(ClientFlow& flow);
  void BeginRequest(ClientFlow& flow);
  void SendRequest(ClientFlow& flow, Duration retry_delay);
  void AcknowledgeAsClient(ClientFlow& flow);
  void OnClientPacket(const Packet& packet,
                      const Server* sender,
                      const std::string& sender_name);
  void OnReset(ClientFlow& flow,
               const Server* sender,
               const std::string& sender_name);
  void OnResponseData(ClientFlow& flow, const Packet& packet);
  void EndFlow(ClientFlow& flow, const std::string& how);

  void ReceiveAtServer(Server& server);
  void OnServerPacket(Server& server, const Packet& packet, const Vm* vm);
  void CheckOpening(const Server& server, const Packet& packet, const Vm* vm);
  void TrackPath(const Server& server, const Packet& packet);
  void SendFromServer(Server& server, const Packet& packet);
  void SendSynAck(Server& server, const FlowKey& key, Duration retry_delay);
  void RunRequest(Server& server, const FlowKey& key, const std::string& text);
  void RunNext(Server& server);
  void SendResponse(Server& server, const FlowKey& key, Duration retry_delay);
  void Report(Server& server);
  void Heartbeat(Server& server);
  static std::string EntryOf(const Server& server);
  static std::string KeyOf(const Server& server);

  void Break(size_t Broken::*rule, const std::string& what);
  void Trace(const FlowKey& key, const std::string& what);
  double Milliseconds(TimePoint at) const;
  ClientFlow* Find(const FlowKey& key);

  Loop& loop_;
  Fleet& fleet_;
  Store& store_;
  const std::vector<RequestKind> kinds_;
  const TrafficOptions traffic_;
  const RecordHook record_;
  std::mt19937_64 random_;
  const TimePoint started_at_ = Clock::now();
  int client_socket_ = -1;
  bool is_traffic_on_ = false;
  uint16_t next_port_ = 10'000;
  uint64_t next_attempt_ = 1;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<FlowKey, std::unique_ptr<ClientFlow>> flows_;
  std::set<uint64_t> run_attempts_;
  Broken broken_;
  size_t opened_ = 0;
  size_t sent_ = 0;
  size_t answered_ = 0;
  size_t lost_ = 0;
  size_t ended_by_reset_ = 0;
  size_t never_opened_ = 0;
  size_t second_answers_ = 0;
};

}  // namespace marjoramhall::review

#endif  // MARJORAMHALL_REVIEW_STANDINS_FLOWS_H_

// Callers, targets and the operator of a soak, and the promises that they check
// while it runs. All run on one thread; only packets towards VMs and from VMs
// to targets and callers cross sockets.
#ifndef MARJORAMHALL_LAB_SOAK_WORLD_H_
#define MARJORAMHALL_LAB_SOAK_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/soak_vms.h"
#include "platform/standin/store.h"
#include "src/discovery/records.h"
#include "src/forward/packet.h"
#include "src/net/flow_path_socket.h"

namespace marjoramhall::lab {

struct SoakCounts {
  uint64_t flows = 0;
  uint64_t served = 0;     // whole flows
  uint64_t refused = 0;    // reset before they were open
  uint64_t abandoned = 0;  // given up by the caller
  uint64_t target_gone = 0;
  // Flows of the calm end whose route was in force when they were opened.
  uint64_t owed = 0;
  uint64_t owed_served = 0;
};

class SoakWorld {
 public:
  SoakWorld(SoakVms& vms, platform::StandInStore& store, uint64_t seed);
  ~SoakWorld();
  SoakWorld(const SoakWorld&) = delete;
  SoakWorld& operator=(const SoakWorld&) = delete;

  // Puts the first configuration and targets into the store.
  std::string Open();

  // Sends, receives and checks what is due. To be called every millisecond.
  void Step(TimePoint now);

  // Changes; each picks its objects at random.
  void ReplaceTarget(TimePoint now);  // drain, then leave; a new one joins
  void CrashTarget(TimePoint now);    // silent; its entry goes later
  void ReuseAddress(TimePoint now);   // a crashed one's for another service
  void ChangeConfig(TimePoint now);   // adds or removes a route
  void WriteForeignEntry();

  // The calm end: opens only flows of one request from now on.
  void BeginCalmEnd() { calm_end_ = true; }
  // Stops opening flows at the end.
  void StopCallers() { opening_ = false; }

  // Promises that broke, each with what was seen.
  const std::vector<std::string>& broken() const { return broken_; }
  const SoakCounts& counts() const { return counts_; }
  size_t open_flows() const { return flows_.size(); }

 private:
  struct Target;
  struct Flow;
  struct RouteState;

  void Receive(TimePoint now);
  void OnTargetPacket(Target& target,
                      std::span<const uint8_t> datagram,
                      const Endpoint& from,
                      TimePoint now);
  void OnCallerPacket(std::span<const uint8_t> datagram,
                      const Endpoint& from,
                      TimePoint now);
  void OnOpening(Target& target, Flow& flow, const SoakVm* vm, TimePoint now);
  void OpenFlow(TimePoint now);
  void Advance(Flow& flow, TimePoint now);
  void SendPacket(Flow& flow, bool syn, bool fin, uint16_t bytes);
  SoakVm* RouteTo(const forward::FlowKey& key);
  SoakVm* VmOf(const Endpoint& source);
  bool InTouch(const SoakVm& vm, TimePoint now) const;
  Target* TargetOf(uint64_t instance);
  Target& AddTarget(const std::string& service, const Endpoint& address);
  void Break(const std::string& what);
  uint32_t Random(uint32_t bound);

  SoakVms& vms_;
  platform::StandInStore& store_;
  std::mt19937_64 random_;
  forward::PacketCodec codec_;
  net::UdpSocket sender_;
  net::UdpSocket caller_;  // takes resets
  net::ReceiveBatch batch_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::unordered_map<forward::FlowKey,
                     std::unique_ptr<Flow>,
                     forward::FlowKeyHash>
      flows_;
  std::vector<RouteState> routes_;
  uint64_t config_version_ = 0;
  uint64_t next_instance_ = 0x1000;
  uint16_t next_port_ = 10'000;
  uint16_t next_target_ = 1;
  TimePoint next_opening_;
  bool opening_ = true;
  bool calm_end_ = false;
  std::vector<std::string> broken_;
  SoakCounts counts_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_SOAK_WORLD_H_

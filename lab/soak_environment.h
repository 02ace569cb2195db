// The surroundings of the VMs in a soak test: clients, targets and
// configuration changes, and the guarantees that are checked meanwhile. Runs on
// one thread. Packets to the VMs, and from the VMs to targets and clients, are
// sent over UDP sockets; targets reply to clients by direct calls.
#ifndef MARJORAMHALL_LAB_SOAK_ENVIRONMENT_H_
#define MARJORAMHALL_LAB_SOAK_ENVIRONMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/soak_vms.h"
#include "platform/standin/store.h"
#include "src/base/enum_names.h"
#include "src/discovery/records.h"
#include "src/forward/packet.h"
#include "src/net/flow_path_socket.h"

namespace marjoramhall::lab {

struct SoakCounts {
  uint64_t flows = 0;
  uint64_t served = 0;       // All requests were answered.
  uint64_t refused = 0;      // Reset by a VM.
  uint64_t abandoned = 0;    // Timed out at the client.
  uint64_t target_gone = 0;  // Established, but the target has ended.
  // Flows of the recovery phase whose route was in force when they were opened.
  uint64_t expected = 0;
  uint64_t expected_served = 0;
  // Requests of many packets, which `flows` and `served` do not include.
  uint64_t uploads = 0;
  uint64_t served_uploads = 0;
  uint64_t refused_uploads = 0;  // before they began, by a VM with a full link
};

// How the routers choose the VM of a flow.
enum class RouterHash { kSteady, kModulo };
inline constexpr EnumName<RouterHash> kRouterHashNames[] = {
    {RouterHash::kSteady, "steady"},
    {RouterHash::kModulo, "mod"},
};
constexpr std::span<const EnumName<RouterHash>> NamesOf(RouterHash) {
  return kRouterHashNames;
}

class SoakEnvironment {
 public:
  SoakEnvironment(SoakVms& vms,
                  platform::StandInStore& store,
                  RouterHash router_hash,
                  uint64_t seed);
  ~SoakEnvironment();
  SoakEnvironment(const SoakEnvironment&) = delete;
  SoakEnvironment& operator=(const SoakEnvironment&) = delete;

  // Writes the first configuration and the targets to the store. Returns an
  // error, or an empty string.
  std::string Open();

  // Sends, receives and checks what is due. The caller calls it about every
  // millisecond.
  void Step(TimePoint now);

  // Changes to randomly chosen targets and routes.

  // Drains a target, which ends later, and adds another one.
  void ReplaceTarget(TimePoint now);
  // A target stops responding; its store entry is removed later.
  void CrashTarget(TimePoint now);
  // Adds a target of another service at the address of a crashed one.
  void ReuseAddress(TimePoint now);
  // Adds, removes or restores a route.
  void ChangeConfig(TimePoint now);
  // A target crashes and starts again under its id.
  void RestartTarget();
  // Executes the last report of a target again some seconds later, like a store
  // that has lost the response to it. The target corrects it if it is alive.
  void DelayReport(TimePoint now);
  // Evacuates a failure domain and withdraws that after `span`. Does nothing
  // during an evacuation, or if a service would be left with few targets.
  void EvacuateDomain(TimePoint now, Duration span);
  // Writes a target entry that is malformed.
  void WriteInvalidEntry();

  // Starts opening uploads, beside the flows of small requests.
  void BeginUploads() { opening_uploads_ = true; }
  // Starts the recovery phase: opens only flows of one request from now on.
  void BeginRecoveryPhase() { recovery_phase_ = true; }
  // Stops opening flows.
  void StopOpeningFlows() { opening_flows_ = false; }

  // Violated guarantees, each with what was observed. `reason_of` returns the
  // reason that a VM logged for the refusal of a flow ("CLIENT to SERVICE"), or
  // an empty string.
  using ReasonHook =
      std::function<std::string(const SoakVm& vm, const std::string& flow)>;
  std::vector<std::string> Violations(const ReasonHook& reason_of) const;
  const SoakCounts& counts() const { return counts_; }
  size_t open_flows() const { return flows_.size(); }

 private:
  static constexpr uint16_t kFirstClientPort = 10'000;

  struct Target;
  struct Flow;
  struct RouteState;

  void Receive(TimePoint now);
  void OnTargetPacket(Target& target,
                      std::span<const uint8_t> datagram,
                      const Endpoint& from,
                      TimePoint now);
  void OnClientPacket(std::span<const uint8_t> datagram,
                      const Endpoint& from,
                      TimePoint now);
  void OnResponse(const forward::FlowKey& key,
                  uint64_t number,
                  uint32_t sequence,
                  uint64_t instance);
  void OnSynAck(const forward::FlowKey& key,
                uint64_t number,
                uint64_t instance,
                bool is_repeated);
  void OnSyn(Target& target, Flow& flow, const SoakVm* vm, TimePoint now);
  void OpenFlow(TimePoint now);
  void SendNext(Flow& flow, TimePoint now);
  void SendPacket(Flow& flow, bool syn, bool fin, uint16_t bytes);
  // Sends a packet to a VM over its link.
  void PassLink(SoakVm& vm, std::vector<uint8_t> packet);
  void OpenUploads(TimePoint now);
  void SendUploadPacket(Flow& flow, uint32_t n);
  // Sends the packets of an upload that the client may have on their way.
  void SendWindow(Flow& flow);
  void ResendUploadPacket(Flow& flow, TimePoint now);
  // At the target of an upload.
  void OnUploadData(Flow& flow, uint32_t sequence, TimePoint now);
  // At the client: the target has received the first `acked` packets.
  void OnUploadAck(const forward::FlowKey& key,
                   uint64_t number,
                   uint32_t acked);
  // A SYN of the flow is on its way to the VM.
  void NoteSynPath(const forward::FlowKey& key,
                   uint64_t number,
                   const SoakVm& vm);
  // Whether the VM may reset an upload because its link is full: it has got all
  // SYNs of the flow, no target has answered, and the link carries others.
  bool MayRefuseUpload(const SoakVm& vm, const Flow& flow, TimePoint now) const;
  const RouteState& RouteOf(const forward::FlowKey& key) const;
  SoakVm* ChooseVm(const forward::FlowKey& key);
  SoakVm* FindVm(const Endpoint& source);
  // Whether the VM meets its deadlines: no fault has affected it lately.
  bool IsSettled(const SoakVm& vm, TimePoint now) const;
  // As above, but stops and restarts that are planned do not count.
  bool HasUnplannedFault(const SoakVm& vm, TimePoint now) const;
  Flow* FindFlow(const forward::FlowKey& key, uint64_t number);
  Target* FindTarget(uint64_t instance);
  // Live targets of a service outside a failure domain that have not announced
  // their end and are older than `min_age`.
  int CountTargetsOutside(const std::string& service,
                          const std::string& failure_domain,
                          Duration min_age,
                          TimePoint now) const;
  // Whether evacuations may leave a service no target: the store has evacuated
  // the domains of all its targets, now or within the bound. After its return
  // from an older copy it may again evacuate a domain whose withdrawal it lost.
  bool IsWithoutTargets(const std::string& service, TimePoint now) const;
  Target& AddTarget(const std::string& service, const Endpoint& address);
  void AddViolation(const std::string& what);
  void AddRefusal(const SoakVm& vm, const Flow& flow);
  uint32_t Random(uint32_t bound);

  SoakVms& vms_;
  platform::StandInStore& store_;
  const RouterHash router_hash_;
  std::mt19937_64 random_;
  std::mt19937_64 upload_random_;  // leaves the order of other choices alone
  forward::PacketCodec codec_;
  net::UdpSocket send_socket_;
  net::UdpSocket client_socket_;  // receives resets
  net::ReceiveBatch batch_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::unordered_map<forward::FlowKey,
                     std::unique_ptr<Flow>,
                     forward::FlowKeyHash>
      flows_;
  std::vector<RouteState> routes_;
  std::unique_ptr<RouteState> upload_route_;  // always in force
  // Packets on their way between clients and the platform, and writes that the
  // store executes late.
  std::multimap<TimePoint, std::function<void()>> events_;
  int64_t last_start_time_ms_ = 0;
  uint64_t config_version_ = 0;
  uint64_t next_instance_ = 0x1000;
  uint16_t next_port_ = kFirstClientPort;
  uint16_t next_upload_port_ = kFirstClientPort;
  uint16_t next_target_address_ = 1;
  std::string evacuated_domain_;  // empty without an evacuation
  TimePoint evacuated_at_;
  // When the store last had the evacuation of a domain.
  std::map<std::string, TimePoint> last_evacuated_at_;
  TimePoint next_flow_at_;
  TimePoint next_uploads_at_;
  bool opening_flows_ = true;
  bool opening_uploads_ = false;
  bool recovery_phase_ = false;
  struct Violation {
    std::string what;
    // Of a refused flow.
    const SoakVm* vm = nullptr;
    std::string flow;
  };
  std::vector<Violation> violations_;
  SoakCounts counts_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_SOAK_ENVIRONMENT_H_

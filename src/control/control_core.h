// The control plane of one VM without its I/O. Combines membership,
// configuration gossip and the store reconciler, and publishes their results as
// control views.
#ifndef MARJORAMHALL_CONTROL_CONTROL_CORE_H_
#define MARJORAMHALL_CONTROL_CONTROL_CORE_H_

#include <functional>
#include <memory>
#include <string>

#include "src/config/control_view.h"
#include "src/control/gossip.h"
#include "src/control/membership.h"
#include "src/control/store_counter.h"
#include "src/control/store_reconciler.h"

namespace marjoramhall::control {

// Receives messages of the flow and request channels from authenticated peers.
using PeerMessageHook =
    std::function<void(VmId from, PeerChannel channel, std::string payload)>;

struct ControlCoreOptions {
  MembershipOptions membership;
  GossipOptions gossip;
  StoreReconcilerOptions reconciler;
};

struct ControlHooks {
  SendHook send;
  config::ViewHook on_view;
  PeerMessageHook on_peer_message;
  DecisionHook decide;
  Clock clock;
};

// Not thread-safe. For cost and memory see Membership, ConfigGossip and
// StoreReconciler.
class ControlCore {
 public:
  // `self` must have its id, name, domain, endpoints and the incarnation at
  // process start.
  ControlCore(ControlCoreOptions options,
              const config::Member& self,
              const StoreClient& store,
              DeploymentCodec codec,
              ControlHooks hooks,
              uint64_t seed);
  ControlCore(const ControlCore&) = delete;
  ControlCore& operator=(const ControlCore&) = delete;

  // Handles an authenticated message. `addressed` is false when the sender did
  // not know this VM's id; see Membership::OnMessage.
  void OnPeerMessage(VmId from,
                     bool addressed,
                     PeerChannel channel,
                     std::string payload);
  // Handles an authenticated message with an outdated incarnation; see
  // Membership::OnStaleIncarnation.
  void OnStaleIncarnation(VmId from);
  // Drives all timers. Call every 50 ms.
  void OnTick();

  // See StoreReconciler::Propose.
  void Propose(const config::Deployment& next,
               const std::string& change_id,
               ProposeCallback done);
  // Announces a planned leave; the VM goes on working.
  void BeginLeave();
  // Announces that this VM is gone. Call nothing but the destructor afterwards.
  void Leave();

  const config::ControlViewPtr& view() const { return view_; }
  const Membership& membership() const { return membership_; }
  const ConfigGossip& gossip() const { return gossip_; }
  const StoreReconciler& reconciler() const { return reconciler_; }
  const StoreCallCounts& store_calls() const { return *store_calls_; }

 private:
  // True when this VM reads the store for its failure domain. All VMs with the
  // same members choose the same reader.
  bool IsStoreReader() const;
  void PublishIfChanged();

  const ControlCoreOptions options_;
  ControlHooks hooks_;
  std::shared_ptr<StoreCallCounts> store_calls_;
  Membership membership_;
  ConfigGossip gossip_;
  StoreReconciler reconciler_;

  // The view published last, and the state that it was made from.
  config::ControlViewPtr view_;
  uint64_t published_members_version_ = 0;
  uint64_t published_revisions_version_ = 0;
  TimePoint published_at_{};
  // Cached result of IsStoreReader() for this version of the members.
  mutable bool is_store_reader_ = false;
  mutable uint64_t store_reader_version_ = 0;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_CONTROL_CORE_H_

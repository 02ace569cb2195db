// The control plane of one VM without its I/O: membership, configuration gossip
// and the revision keeper joined, publishing views.
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

// Receives messages of the flow and request channels.
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

// Not thread-safe. Cost and memory: see the parts.
class ControlCore {
 public:
  // `self` must have id, name, domain, endpoints and the start incarnation.
  ControlCore(ControlCoreOptions options,
              const config::Member& self,
              const StoreClient& store,
              DeploymentCodec codec,
              ControlHooks hooks,
              uint64_t seed);
  ControlCore(const ControlCore&) = delete;
  ControlCore& operator=(const ControlCore&) = delete;

  // Handles an authenticated message; see Membership::OnMessage.
  void OnPeerMessage(VmId from,
                     bool addressed,
                     PeerChannel channel,
                     std::string payload);
  void OnStaleIncarnation(VmId from);
  // Call every 50 ms.
  void OnTick();

  void Propose(const config::Deployment& next,
               const std::string& change_id,
               ProposeCallback done);
  void BeginLeave();
  void Leave();

  const config::ControlViewPtr& view() const { return view_; }
  const Membership& membership() const { return membership_; }
  const ConfigGossip& gossip() const { return gossip_; }
  const StoreReconciler& reconciler() const { return reconciler_; }
  const StoreCallCounts& store_calls() const { return *store_calls_; }

 private:
  bool IsStoreReader() const;
  void PublishIfChanged();

  const ControlCoreOptions options_;
  ControlHooks hooks_;
  std::shared_ptr<StoreCallCounts> store_calls_;
  Membership membership_;
  ConfigGossip gossip_;
  StoreReconciler reconciler_;

  config::ControlViewPtr view_;
  uint64_t published_members_ = 0;
  uint64_t published_held_ = 0;
  TimePoint published_at_{};
  // Store reader of the own domain as of `reader_version_` of the members.
  mutable bool reader_ = false;
  mutable uint64_t reader_version_ = 0;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_CONTROL_CORE_H_

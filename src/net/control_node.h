// The control plane of one VM with its I/O: the core on an Asio thread, the
// peer transport, and the store.
#ifndef MARJORAMHALL_NET_CONTROL_NODE_H_
#define MARJORAMHALL_NET_CONTROL_NODE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/config/control_view.h"
#include "src/control/control_core.h"
#include "src/net/peer_transport.h"

namespace marjoramhall::net {

struct ControlNodeOptions {
  // name, domain, hop_endpoint, request_endpoint and control_endpoint. The
  // control endpoint's port may be 0. The id is derived from the name; an
  // incarnation of 0 is replaced by the time of Open().
  config::Member self;
  // `listen` defaults to the control endpoint when its port and address are 0.
  PeerTransportOptions transport;
  control::ControlCoreOptions core;
  std::vector<Endpoint> seeds;
  uint64_t random_seed = 0;  // 0: from the system
};

struct ControlStats {
  control::MembershipStats membership;
  control::GossipStats gossip;
  control::StoreReconcilerStats reconciler;
  control::StoreCallCounts store;
  PeerTransportStats transport;
  size_t members = 0;
  Revision revision = 0;
  uint64_t view_number = 0;
  // Messages of the traffic planes to VMs that are no members.
  uint64_t unknown_peer = 0;
};

// Control thread only, but for SendToPeer, CurrentView and Snapshot.
class ControlNode {
 public:
  ControlNode(asio::io_context& io,
              ControlNodeOptions options,
              control::StoreClient store,
              control::DeploymentCodec codec,
              config::ViewHook on_view,
              control::PeerMessageHook on_peer_message,
              DecisionHook decide);
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  // Listens for peers, joins the seeds and publishes the first view. Returns an
  // error that names the address, or "".
  std::string Open();

  // Queues a message for a peer on the flow or request channel. Safe from any
  // thread, also after this object has gone.
  marjoramhall::SendToPeer PeerSender();
  void SendToPeer(VmId peer, PeerChannel channel, std::string payload);

  // See StoreReconciler::Propose.
  void Propose(const config::Deployment& next,
               const std::string& change_id,
               control::ProposeCallback done);

  // Safe from any thread. Never null after Open().
  config::ControlViewPtr CurrentView() const;
  // Members removed less than 24 h ago that may still run behind a partition.
  std::vector<config::Member> RemovedMembers() const;

  // Announces that this VM is leaving; it goes on working.
  void BeginLeave();
  // Announces the leave, waits 500 ms for the news to spread, announces the
  // end and closes the transport. Then calls `done`.
  void Leave(std::function<void()> done);

  // As of the last 100 ms. Safe from any thread.
  ControlStats Snapshot() const;

 private:
  struct Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_CONTROL_NODE_H_

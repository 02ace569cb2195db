// The control plane of one VM. Runs the control core on the thread of an
// io_context and connects it to the peer transport and the store.
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
  // Must contain name, domain, hop_endpoint, request_endpoint and
  // control_endpoint; the port of the latter may be 0. The id is derived from
  // the name. An incarnation of 0 is replaced by the time of Open().
  config::Member self;
  // `listen` defaults to the control endpoint if its address and port are 0.
  PeerTransportOptions transport;
  control::ControlCoreOptions core;
  std::vector<Endpoint> seeds;
  uint64_t random_seed = 0;  // 0: chosen by the system
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
  // Messages of the flow and request planes that were dropped because the
  // recipient is not a member.
  uint64_t messages_to_unknown_peers = 0;
};

// Must be used on the control thread, except for the functions that are marked
// as thread-safe.
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

  // Listens for peers, joins the cluster through the seeds and publishes the
  // first view. Returns an error that names the address, or an empty string.
  std::string Open();

  // Returns a function that queues a message to a peer on the flow or request
  // channel. It is thread-safe and may be called after this object is
  // destroyed, as long as the io_context exists.
  marjoramhall::SendToPeer PeerSender();
  // Queues a message to a peer. Thread-safe.
  void SendToPeer(VmId peer, PeerChannel channel, std::string payload);

  // See StoreReconciler::Propose.
  void Propose(const config::Deployment& next,
               const std::string& change_id,
               control::ProposeCallback done);

  // Never null after Open(). Thread-safe.
  config::ControlViewPtr CurrentView() const;
  // Members removed less than 24 h ago, which may still run behind a network
  // partition.
  std::vector<config::Member> RemovedMembers() const;

  // Announces that this VM is leaving. The VM keeps working.
  void BeginLeave();
  // Announces that this VM is leaving, waits 500 ms for the announcement to
  // spread, announces that it has left and closes the transport. Then calls
  // `done`.
  void Leave(std::function<void()> done);

  // Returns the statistics, which are updated every 100 ms. Thread-safe.
  ControlStats Snapshot() const;

 private:
  struct Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_CONTROL_NODE_H_

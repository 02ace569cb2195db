// Connects the control core, the peer transport and the store.
#include "src/net/control_node.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <mutex>
#include <optional>
#include <random>
#include <utility>

namespace marjoramhall::net {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(50);
constexpr auto kLeavePropagationTime = std::chrono::milliseconds(500);

Incarnation IncarnationNow() {
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

struct ControlNode::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& io_context,
       ControlNodeOptions opts,
       control::StoreClient store_client,
       control::DeploymentCodec deployment_codec,
       config::ViewHook view_hook,
       control::PeerMessageHook message_hook,
       DecisionHook decision_hook)
      : io(io_context),
        options(std::move(opts)),
        store(std::move(store_client)),
        codec(std::move(deployment_codec)),
        on_view(std::move(view_hook)),
        on_peer_message(std::move(message_hook)),
        decide(std::move(decision_hook)),
        tick_timer(io_context),
        leave_timer(io_context) {}

  std::string Open();
  void MakeCore();
  void OnReceive(protocol::OpenedEnvelope envelope);
  void Tick();
  void Send(VmId peer, PeerChannel channel, std::string payload);
  void UpdateSnapshot();
  void Close();

  asio::io_context& io;
  ControlNodeOptions options;
  control::StoreClient store;
  control::DeploymentCodec codec;
  config::ViewHook on_view;
  control::PeerMessageHook on_peer_message;
  DecisionHook decide;
  asio::steady_timer tick_timer;
  asio::steady_timer leave_timer;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<control::ControlCore> core;
  uint64_t ticks = 0;
  uint64_t messages_to_unknown_peers = 0;

  mutable std::mutex mutex;
  // Guarded by `mutex`.
  ControlStats snapshot;
  config::ControlViewPtr view;
};

std::string ControlNode::Impl::Open() {
  config::Member& self = options.self;
  self.id = config::VmIdOf(self.name);
  if (self.incarnation == 0) {
    self.incarnation = IncarnationNow();
  }
  if (options.transport.listen == Endpoint()) {
    options.transport.listen = self.control_endpoint;
  }
  transport = std::make_unique<PeerTransport>(
      io, options.transport, self.id, self.incarnation,
      [this](protocol::OpenedEnvelope envelope) {
        OnReceive(std::move(envelope));
      });
  std::string error = transport->Open();
  if (!error.empty()) {
    transport.reset();
    return error;
  }
  if (self.control_endpoint.port == 0) {
    self.control_endpoint.port = transport->local_endpoint().port;
  }
  MakeCore();
  Tick();
  return "";
}

void ControlNode::Impl::MakeCore() {
  control::ControlCoreOptions core_options = options.core;
  core_options.membership.seeds = options.seeds;
  control::ControlHooks hooks;
  hooks.send = [this](const control::PeerAddress& to, PeerChannel channel,
                      std::string payload) {
    const Incarnation own =
        core ? core->membership().self().incarnation : options.self.incarnation;
    transport->Send(to, own, channel, std::move(payload));
  };
  hooks.on_view = [this](const config::ControlViewPtr& published) {
    {
      const std::lock_guard lock(mutex);
      view = published;
    }
    if (on_view) {
      on_view(published);
    }
  };
  hooks.on_peer_message = on_peer_message;
  hooks.decide = decide;
  hooks.clock = SteadyNow;
  const uint64_t seed =
      options.random_seed != 0 ? options.random_seed : std::random_device()();
  core = std::make_unique<control::ControlCore>(
      core_options, options.self, store, codec, std::move(hooks), seed);
}

void ControlNode::Impl::OnReceive(protocol::OpenedEnvelope envelope) {
  if (!core) {
    return;
  }
  if (envelope.error == protocol::EnvelopeError::kOldIncarnation) {
    core->OnStaleIncarnation(envelope.sender);
    return;
  }
  core->OnPeerMessage(envelope.sender, envelope.addressed, envelope.channel,
                      std::move(envelope.payload));
}

void ControlNode::Impl::Tick() {
  core->OnTick();
  if (++ticks % 2 == 1) {
    UpdateSnapshot();
  }
  tick_timer.expires_after(kTickInterval);
  tick_timer.async_wait([self = shared_from_this()](const std::error_code& ec) {
    if (!ec && self->transport) {
      self->Tick();
    }
  });
}

void ControlNode::Impl::Send(VmId peer,
                             PeerChannel channel,
                             std::string payload) {
  if (!core || !transport) {
    return;
  }
  const control::PeerAddress to = core->membership().AddressOf(peer);
  if (to.id == VmId::kNone) {
    ++messages_to_unknown_peers;
    return;
  }
  transport->Send(to, core->membership().self().incarnation, channel,
                  std::move(payload));
}

void ControlNode::Impl::UpdateSnapshot() {
  ControlStats stats;
  stats.membership = core->membership().stats();
  stats.gossip = core->gossip().stats();
  stats.reconciler = core->reconciler().stats();
  stats.store = core->store_calls();
  stats.transport = transport->stats();
  stats.members = core->membership().member_count();
  stats.revision = core->gossip().current()->revision;
  stats.view_number = core->view()->number;
  stats.messages_to_unknown_peers = messages_to_unknown_peers;
  const std::lock_guard lock(mutex);
  snapshot = stats;
}

void ControlNode::Impl::Close() {
  tick_timer.cancel();
  leave_timer.cancel();
  if (transport) {
    transport->Close();
    transport.reset();
  }
}

ControlNode::ControlNode(asio::io_context& io,
                         ControlNodeOptions options,
                         control::StoreClient store,
                         control::DeploymentCodec codec,
                         config::ViewHook on_view,
                         control::PeerMessageHook on_peer_message,
                         DecisionHook decide)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(options),
                                   std::move(store),
                                   std::move(codec),
                                   std::move(on_view),
                                   std::move(on_peer_message),
                                   std::move(decide))) {}

ControlNode::~ControlNode() {
  impl_->Close();
  impl_->core.reset();
}

std::string ControlNode::Open() {
  return impl_->Open();
}

marjoramhall::SendToPeer ControlNode::PeerSender() {
  return [weak = std::weak_ptr<Impl>(impl_), &io = impl_->io](
             VmId peer, PeerChannel channel, std::string payload) {
    asio::post(io,
               [weak, peer, channel, payload = std::move(payload)]() mutable {
                 if (const auto impl = weak.lock()) {
                   impl->Send(peer, channel, std::move(payload));
                 }
               });
  };
}

void ControlNode::SendToPeer(VmId peer,
                             PeerChannel channel,
                             std::string payload) {
  PeerSender()(peer, channel, std::move(payload));
}

void ControlNode::Propose(const config::Deployment& next,
                          const std::string& change_id,
                          control::ProposeCallback done) {
  impl_->core->Propose(next, change_id, std::move(done));
}

config::ControlViewPtr ControlNode::CurrentView() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->view;
}

std::vector<config::Member> ControlNode::RemovedMembers() const {
  return impl_->core->membership().Removed();
}

void ControlNode::BeginLeave() {
  impl_->core->BeginLeave();
}

void ControlNode::Leave(std::function<void()> done) {
  impl_->core->BeginLeave();
  impl_->leave_timer.expires_after(kLeavePropagationTime);
  impl_->leave_timer.async_wait(
      [self = impl_, done = std::move(done)](const std::error_code& ec) {
        if (ec || !self->transport) {
          return;
        }
        self->core->Leave();
        self->Close();
        done();
      });
}

ControlStats ControlNode::Snapshot() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->snapshot;
}

}  // namespace marjoramhall::net

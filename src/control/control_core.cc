// Wiring of the control plane's parts and publication of views.
#include "src/control/control_core.h"

#include <algorithm>
#include <utility>

#include "src/config/rendezvous.h"
#include "src/control/gossip_delta.h"

namespace marjoramhall::control {
namespace {

// A small site gets every change of members at once. With more members, views
// are spaced: each costs a copy of the member list and work in both traffic
// planes, and a mass restart would make hundreds of them.
constexpr size_t kSmallSite = 32;
constexpr Duration kMemberViewInterval = std::chrono::milliseconds(100);
constexpr Duration kHeldViewInterval = std::chrono::milliseconds(200);
constexpr Duration kHeldViewIntervalLarge = std::chrono::seconds(1);

}  // namespace

ControlCore::ControlCore(ControlCoreOptions options,
                         const config::Member& self,
                         const StoreClient& store,
                         DeploymentCodec codec,
                         ControlHooks hooks,
                         uint64_t seed)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      store_calls_(std::make_shared<StoreCallCounts>()),
      membership_(
          options_.membership,
          self,
          hooks_.send,
          [this](const PeerAddress& peer, uint64_t lineage, Revision revision) {
            gossip_.OnPeerRevision(peer, lineage, revision, hooks_.clock());
          },
          hooks_.decide,
          seed),
      gossip_(
          options_.gossip,
          std::move(codec),
          hooks_.send,
          [this](size_t count) { return membership_.RandomPeers(count); },
          [this](VmId id) { return membership_.AddressOf(id); },
          [this] {
            membership_.SetHeld(gossip_.lineage(), gossip_.current()->revision);
            PublishIfChanged();
          },
          hooks_.decide),
      reconciler_(options_.reconciler,
                  CountCalls(store, store_calls_),
                  gossip_,
                  hooks_.clock,
                  hooks_.decide,
                  seed + 1) {
  PublishIfChanged();
}

void ControlCore::OnPeerMessage(VmId from,
                                bool addressed,
                                PeerChannel channel,
                                std::string payload) {
  switch (channel) {
    case PeerChannel::kMembership:
      membership_.OnMessage(from, addressed, payload, hooks_.clock());
      break;
    case PeerChannel::kConfig:
      if (addressed) {
        gossip_.OnMessage(from, payload, hooks_.clock());
      }
      break;
    case PeerChannel::kFlow:
    case PeerChannel::kRequest:
      if (addressed && hooks_.on_peer_message) {
        hooks_.on_peer_message(from, channel, std::move(payload));
      }
      break;
  }
  PublishIfChanged();
}

void ControlCore::OnStaleIncarnation(VmId from) {
  membership_.OnStaleIncarnation(from, hooks_.clock());
}

void ControlCore::OnTick() {
  membership_.OnTick(hooks_.clock());
  gossip_.OnTick(hooks_.clock());
  reconciler_.OnTick(IsStoreReader(), !options_.membership.seeds.empty());
  PublishIfChanged();
}

void ControlCore::Propose(const config::Deployment& next,
                          const std::string& change_id,
                          ProposeCallback done) {
  reconciler_.Propose(next, change_id, std::move(done));
}

void ControlCore::BeginLeave() {
  membership_.BeginLeave(hooks_.clock());
  PublishIfChanged();
}

void ControlCore::Leave() {
  membership_.Leave(hooks_.clock());
}

// One VM of each failure domain reads the store, the same in every view.
bool ControlCore::IsStoreReader() const {
  if (reader_version_ == membership_.version()) {
    return reader_;
  }
  reader_version_ = membership_.version();
  const std::string& domain = membership_.self().domain;
  std::vector<config::Member> members = membership_.Members();
  std::erase_if(members, [&](const auto& it) { return it.domain != domain; });
  const auto ranked = config::RankMembers(config::RendezvousSpace::kStoreReader,
                                          DigestOfText(domain), members, 1);
  reader_ = !ranked.empty() && ranked.front() == membership_.self().id;
  return reader_;
}

void ControlCore::PublishIfChanged() {
  const TimePoint now = hooks_.clock();
  const bool large = membership_.member_count() > kSmallSite;
  const Duration age = now - published_at_;
  const bool first = view_ == nullptr;
  const bool deployment = first || view_->deployment != gossip_.current();
  const bool members = published_members_ != membership_.version() &&
                       (!large || age >= kMemberViewInterval);
  const bool held = published_held_ != membership_.held_version() &&
                    age >= (large ? kHeldViewIntervalLarge : kHeldViewInterval);
  if (!deployment && !members && !held) {
    return;
  }
  auto view = std::make_shared<config::ControlView>();
  view->number = first ? 1 : view_->number + 1;
  view->self = membership_.self().id;
  view->deployment = gossip_.current();
  view->members = membership_.Members();
  published_members_ = membership_.version();
  published_held_ = membership_.held_version();
  published_at_ = now;
  view_ = std::move(view);
  if (hooks_.on_view) {
    hooks_.on_view(view_);
  }
}

}  // namespace marjoramhall::control

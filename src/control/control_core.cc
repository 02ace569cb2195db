// Connects the parts of the control plane and publishes views.
#include "src/control/control_core.h"

#include <algorithm>
#include <utility>

#include "src/config/rendezvous.h"
#include "src/control/gossip_delta.h"

namespace marjoramhall::control {
namespace {

// Up to this number of members, every change of members is published at once.
// With more members, views have a minimum interval: each view costs a copy of
// the member list and work in the flow and request planes, and a mass restart
// would publish hundreds of them.
constexpr size_t kMaxSmallDeploymentVms = 32;
constexpr Duration kMemberViewInterval = std::chrono::milliseconds(100);
constexpr Duration kRevisionViewInterval = std::chrono::milliseconds(200);
constexpr Duration kRevisionViewIntervalLarge = std::chrono::seconds(1);

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
            membership_.SetOwnRevision(gossip_.lineage(),
                                       gossip_.current()->revision);
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

bool ControlCore::IsStoreReader() const {
  if (store_reader_version_ == membership_.version()) {
    return is_store_reader_;
  }
  store_reader_version_ = membership_.version();
  const std::string& domain = membership_.self().domain;
  std::vector<config::Member> members = membership_.Members();
  std::erase_if(members, [&](const auto& it) { return it.domain != domain; });
  const auto ranked = config::RankMembers(config::RendezvousSpace::kStoreReader,
                                          TextDigest(domain), members, 1);
  is_store_reader_ = !ranked.empty() && ranked.front() == membership_.self().id;
  return is_store_reader_;
}

void ControlCore::PublishIfChanged() {
  const TimePoint now = hooks_.clock();
  const bool large = membership_.member_count() > kMaxSmallDeploymentVms;
  const Duration age = now - published_at_;
  const bool first = view_ == nullptr;
  const bool deployment = first || view_->deployment != gossip_.current();
  const bool members = published_members_version_ != membership_.version() &&
                       (!large || age >= kMemberViewInterval);
  const bool held =
      published_revisions_version_ != membership_.held_revisions_version() &&
      age >= (large ? kRevisionViewIntervalLarge : kRevisionViewInterval);
  if (!deployment && !members && !held) {
    return;
  }
  auto view = std::make_shared<config::ControlView>();
  view->number = first ? 1 : view_->number + 1;
  view->self = membership_.self().id;
  view->deployment = gossip_.current();
  view->members = membership_.Members();
  published_members_version_ = membership_.version();
  published_revisions_version_ = membership_.held_revisions_version();
  published_at_ = now;
  view_ = std::move(view);
  if (hooks_.on_view) {
    hooks_.on_view(view_);
  }
}

}  // namespace marjoramhall::control

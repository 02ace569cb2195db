// Adoption, push and pull of configuration revisions.
#include "src/control/gossip.h"

#include <algorithm>
#include <utility>

#include "src/control/gossip_delta.h"
#include "src/protocol/config_sync.pb.h"

namespace marjoramhall::control {

using protocol::ConfigMessage;

uint64_t HashLineage(const std::string& lineage) {
  return lineage.empty() ? 0 : TextDigest(lineage) | 1;
}

ConfigGossip::ConfigGossip(GossipOptions options,
                           DeploymentCodec codec,
                           SendHook send,
                           PeersHook random_peers,
                           AddressHook address_of,
                           AdoptedHook on_adopted,
                           DecisionHook decide)
    : options_(options),
      codec_(std::move(codec)),
      send_(std::move(send)),
      random_peers_(std::move(random_peers)),
      address_of_(std::move(address_of)),
      on_adopted_(std::move(on_adopted)),
      decide_(std::move(decide)),
      current_(std::make_shared<config::Deployment>()) {}

AdoptResult ConfigGossip::Adopt(std::string text,
                                std::string_view source,
                                TimePoint now) {
  return AdoptText(std::move(text), source, VmId::kNone, now);
}

AdoptResult ConfigGossip::AdoptText(std::string text,
                                    std::string_view source,
                                    VmId exclude,
                                    TimePoint now) {
  if (text == text_ && !text.empty()) {
    return AdoptResult::kSame;
  }
  std::string error;
  auto parsed = codec_.parse(text, &error);
  if (!parsed || parsed->lineage.empty() || parsed->revision == 0 ||
      text.size() > options_.max_text_bytes) {
    ++stats_.malformed;
    return AdoptResult::kMalformed;
  }
  if (current_->revision != 0) {
    if (parsed->lineage != current_->lineage) {
      return Reject(AdoptResult::kForeignLineage, *parsed, source);
    }
    if (parsed->revision < current_->revision) {
      return Reject(AdoptResult::kOlder, *parsed, source);
    }
    if (parsed->revision == current_->revision) {
      return Reject(AdoptResult::kFork, *parsed, source);
    }
  }
  const std::string old_text = std::exchange(text_, std::move(text));
  const Revision base = current_->revision;
  current_ = std::make_shared<const config::Deployment>(std::move(*parsed));
  lineage_ = HashLineage(current_->lineage);
  // Revisions reported before the first adoption may be of another lineage.
  newest_peer_revision_ =
      base == 0 ? current_->revision
                : std::max(newest_peer_revision_, current_->revision);
  SaveDelta(old_text, base);
  ++stats_.adopted;
  if (pull_.active && pull_.revision <= current_->revision) {
    pull_ = Pull();
  }
  if (decide_) {
    Decision decision;
    decision.kind = DecisionKind::kConfiguration;
    decision.revision = current_->revision;
    decision.outcome = "adopted";
    decision.reason = source;
    decision.vm = exclude;
    decide_(decision);
  }
  on_adopted_();
  Push(exclude);
  (void)now;
  return AdoptResult::kAdopted;
}

AdoptResult ConfigGossip::Reject(AdoptResult result,
                                 const config::Deployment& offered,
                                 std::string_view source) {
  switch (result) {
    case AdoptResult::kOlder:
      ++stats_.rejected_older;
      break;
    case AdoptResult::kFork:
      ++stats_.forks;
      break;
    default:
      ++stats_.rejected_lineage;
      break;
  }
  if (decide_) {
    Decision decision;
    decision.kind = DecisionKind::kConfiguration;
    decision.revision = offered.revision;
    decision.outcome = NameOf(result);
    decision.reason = source;
    decision.detail = offered.lineage;
    decide_(decision);
  }
  return result;
}

void ConfigGossip::SaveDelta(const std::string& old_text,
                             Revision base_revision) {
  const uint64_t base_digest = std::exchange(digest_, TextDigest(text_));
  if (base_revision == 0) {
    deltas_.clear();
    return;
  }
  TextDelta delta = MakeDelta(old_text, text_);
  deltas_.push_back({base_revision, base_digest, current_->revision, digest_,
                     std::move(delta.segments), std::move(delta.literal)});
  size_t bytes = 0;
  for (const Delta& it : deltas_) {
    bytes += it.bytes();
  }
  while (deltas_.size() > options_.max_deltas ||
         (bytes > options_.max_delta_bytes && !deltas_.empty())) {
    bytes -= deltas_.front().bytes();
    deltas_.pop_front();
  }
}

void ConfigGossip::FillHeader(ConfigMessage* message) const {
  message->set_lineage(lineage_);
  message->set_revision(current_->revision);
  message->set_digest(digest_);
}

void ConfigGossip::Send(const PeerAddress& to, const ConfigMessage& message) {
  send_(to, PeerChannel::kConfig, message.SerializeAsString());
}

namespace {

template <typename Delta>
void EncodeDelta(const Delta& delta, protocol::RevisionDelta* out) {
  out->set_base_revision(delta.base_revision);
  out->set_base_digest(delta.base_digest);
  out->set_revision(delta.revision);
  out->set_digest(delta.digest);
  out->mutable_copy()->Add(delta.segments.begin(), delta.segments.end());
  out->set_literal(delta.literal);
}

}  // namespace

void ConfigGossip::Push(VmId exclude) {
  ConfigMessage message;
  FillHeader(&message);
  message.set_kind(ConfigMessage::ANNOUNCE);
  if (!deltas_.empty() && deltas_.back().bytes() <= options_.max_push_bytes) {
    message.set_kind(ConfigMessage::DELTAS);
    EncodeDelta(deltas_.back(), message.add_deltas());
  }
  for (const PeerAddress& it : random_peers_(options_.fanout)) {
    if (it.id != exclude) {
      ++stats_.pushes;
      Send(it, message);
    }
  }
}

void ConfigGossip::OnPeerRevision(const PeerAddress& peer,
                                  uint64_t lineage,
                                  Revision revision,
                                  TimePoint now) {
  if (revision == 0 || (lineage_ != 0 && lineage != lineage_)) {
    return;
  }
  newest_peer_revision_ = std::max(newest_peer_revision_, revision);
  if (revision > current_->revision && !pull_.active) {
    StartPull(peer.id, revision, now);
  }
}

void ConfigGossip::StartPull(VmId peer, Revision revision, TimePoint now) {
  pull_ = Pull();
  pull_.active = true;
  pull_.peer = peer;
  pull_.revision = revision;
  SendPull(now);
}

void ConfigGossip::SendPull(TimePoint now) {
  const PeerAddress to = address_of_(pull_.peer);
  if (to.id == VmId::kNone) {
    pull_ = Pull();
    return;
  }
  ++stats_.pulls;
  pull_.deadline = now + options_.pull_timeout;
  ConfigMessage message;
  FillHeader(&message);
  message.set_kind(ConfigMessage::PULL);
  message.set_offset(static_cast<uint32_t>(pull_.data.size()));
  message.set_pulled_digest(pull_.digest);
  Send(to, message);
}

void ConfigGossip::OnTick(TimePoint now) {
  if (!pull_.active || now < pull_.deadline) {
    return;
  }
  // Gives up on this peer after two retries. The next report of the revision
  // by any peer starts the pull again.
  if (++pull_.timeouts > 2) {
    pull_ = Pull();
  } else {
    SendPull(now);
  }
}

void ConfigGossip::OnMessage(VmId from,
                             std::string_view payload,
                             TimePoint now) {
  ConfigMessage message;
  if (!message.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size()))) {
    ++stats_.malformed;
    return;
  }
  const PeerAddress peer = address_of_(from);
  if (peer.id == VmId::kNone) {
    return;
  }
  if (message.kind() == ConfigMessage::PULL) {
    AnswerPull(peer, message);
    return;
  }
  if (lineage_ != 0 && message.lineage() != lineage_) {
    ++stats_.rejected_lineage;
    return;
  }
  if (message.kind() == ConfigMessage::DELTAS) {
    ApplyDeltas(message, from, now);
  } else if (message.kind() == ConfigMessage::CHUNK) {
    ApplyChunk(message, from, now);
  }
  OnPeerRevision(peer, message.lineage(), message.revision(), now);
}

void ConfigGossip::AnswerPull(const PeerAddress& to,
                              const ConfigMessage& message) {
  const bool foreign = message.lineage() != 0 && message.lineage() != lineage_;
  if (foreign || message.revision() >= current_->revision) {
    return;
  }
  ConfigMessage answer;
  FillHeader(&answer);
  const auto first =
      std::find_if(deltas_.begin(), deltas_.end(), [&](const Delta& it) {
        return it.base_revision == message.revision() &&
               it.base_digest == message.digest();
      });
  if (first != deltas_.end()) {
    answer.set_kind(ConfigMessage::DELTAS);
    for (auto it = first; it != deltas_.end(); ++it) {
      EncodeDelta(*it, answer.add_deltas());
    }
    Send(to, answer);
    return;
  }
  const size_t offset = message.pulled_digest() == digest_
                            ? std::min<size_t>(message.offset(), text_.size())
                            : 0;
  answer.set_kind(ConfigMessage::CHUNK);
  answer.set_offset(static_cast<uint32_t>(offset));
  answer.set_size(static_cast<uint32_t>(text_.size()));
  answer.set_data(text_.substr(offset, options_.chunk_bytes));
  ++stats_.chunks;
  Send(to, answer);
}

void ConfigGossip::ApplyDeltas(const ConfigMessage& message,
                               VmId from,
                               TimePoint now) {
  // Applies all deltas before adopting, so that only the last text is parsed.
  std::string text;
  uint64_t digest = digest_;
  Revision revision = current_->revision;
  for (const auto& it : message.deltas()) {
    if (it.base_revision() != revision || it.base_digest() != digest) {
      continue;
    }
    TextDelta delta{{it.copy().begin(), it.copy().end()}, it.literal()};
    auto next = ApplyDelta(revision == current_->revision ? text_ : text, delta,
                           options_.max_text_bytes);
    if (!next || TextDigest(*next) != it.digest()) {
      ++stats_.malformed;
      return;
    }
    text = std::move(*next);
    digest = it.digest();
    revision = it.revision();
  }
  if (revision != current_->revision) {
    AdoptText(std::move(text), "peer", from, now);
  }
}

void ConfigGossip::ApplyChunk(const ConfigMessage& message,
                              VmId from,
                              TimePoint now) {
  if (!pull_.active || pull_.peer != from ||
      message.revision() <= current_->revision ||
      message.size() > options_.max_text_bytes) {
    return;
  }
  if (pull_.digest != message.digest()) {
    pull_.digest = message.digest();
    pull_.size = message.size();
    pull_.data.clear();
  }
  if (message.offset() != pull_.data.size() || message.data().empty()) {
    return;
  }
  pull_.data += message.data();
  pull_.timeouts = 0;
  if (pull_.data.size() < pull_.size) {
    SendPull(now);
    return;
  }
  std::string text = std::move(pull_.data);
  const uint64_t digest = pull_.digest;
  pull_ = Pull();
  if (TextDigest(text) != digest) {
    ++stats_.malformed;
    return;
  }
  AdoptText(std::move(text), "peer", from, now);
}

}  // namespace marjoramhall::control

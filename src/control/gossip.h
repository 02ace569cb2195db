// Distributes accepted configuration revisions between VMs and holds the
// revision that is in force here. Only a higher revision of the same lineage
// replaces the one in force.
#ifndef MARJORAMHALL_CONTROL_GOSSIP_H_
#define MARJORAMHALL_CONTROL_GOSSIP_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/decision.h"
#include "src/base/enum_names.h"
#include "src/config/deployment.h"
#include "src/control/membership_types.h"

namespace marjoramhall::protocol {
class ConfigMessage;
class RevisionDelta;
}  // namespace marjoramhall::protocol

namespace marjoramhall::control {

// Converts a deployment to text and back. For text that is not a deployment,
// `parse` returns nothing and sets the error.
struct DeploymentCodec {
  std::function<std::string(const config::Deployment&)> format;
  std::function<std::optional<config::Deployment>(std::string_view text,
                                                  std::string* error)>
      parse;
};

enum class AdoptResult {
  kAdopted,
  // Equal to the revision in force.
  kSame,
  // Older than the revision in force.
  kOlder,
  // Has the number of the revision in force, but other content.
  kFork,
  kForeignLineage,
  kMalformed,
};
inline constexpr EnumName<AdoptResult> kAdoptResultNames[] = {
    {AdoptResult::kAdopted, "adopted"},
    {AdoptResult::kSame, "same"},
    {AdoptResult::kOlder, "older"},
    {AdoptResult::kFork, "fork"},
    {AdoptResult::kForeignLineage, "foreign-lineage"},
    {AdoptResult::kMalformed, "malformed"},
};
constexpr std::span<const EnumName<AdoptResult>> NamesOf(AdoptResult) {
  return kAdoptResultNames;
}

struct GossipOptions {
  // Number of random peers that a new revision is pushed to.
  size_t fanout = 3;
  // Larger deltas are announced and pulled instead of pushed.
  size_t max_push_bytes = 4096;
  // Limits of the deltas kept for peers with older revisions.
  size_t max_deltas = 32;
  size_t max_delta_bytes = size_t{128} * 1024;
  // Largest part of a full copy sent in one message.
  size_t chunk_bytes = size_t{32} * 1024;
  size_t max_text_bytes = size_t{1024} * 1024;
  Duration pull_timeout = std::chrono::milliseconds(300);
};

struct GossipStats {
  uint64_t adopted = 0;
  uint64_t pushes = 0;
  uint64_t pulls = 0;
  uint64_t chunks = 0;
  uint64_t rejected_older = 0;
  uint64_t rejected_lineage = 0;
  uint64_t forks = 0;
  uint64_t malformed = 0;
};

// Hash of a lineage name as sent in messages. Returns 0 only for the empty
// name.
uint64_t HashLineage(const std::string& lineage);

// Not thread-safe. Cost: about `fanout` messages for each new revision, each
// with the delta from the previous revision. A VM gets a full copy only when
// the kept deltas (`max_deltas`, `max_delta_bytes`) do not reach back to its
// revision.
class ConfigGossip {
 public:
  using PeersHook = std::function<std::vector<PeerAddress>(size_t count)>;
  using AddressHook = std::function<PeerAddress(VmId)>;
  // Called after each adoption, before the revision is pushed to peers.
  using AdoptedHook = std::function<void()>;

  ConfigGossip(GossipOptions options,
               DeploymentCodec codec,
               SendHook send,
               PeersHook random_peers,
               AddressHook address_of,
               AdoptedHook on_adopted,
               DecisionHook decide);

  void OnMessage(VmId from, std::string_view payload, TimePoint now);
  void OnTick(TimePoint now);

  // Handles a peer's report of the revision that it holds. Starts a pull when
  // that revision is newer than the one in force.
  void OnPeerRevision(const PeerAddress& peer,
                      uint64_t lineage,
                      Revision revision,
                      TimePoint now);

  // Offers a text from the store or from a proposal of this VM. `source` is
  // written to the decision log.
  AdoptResult Adopt(std::string text, std::string_view source, TimePoint now);

  // Never null; revision 0 when nothing is in force.
  const config::DeploymentPtr& current() const { return current_; }
  // Text of current(); empty for revision 0.
  const std::string& text() const { return text_; }
  const DeploymentCodec& codec() const { return codec_; }
  uint64_t lineage() const { return lineage_; }
  // Newest revision of the lineage that was adopted or reported by a peer.
  Revision newest_peer_revision() const { return newest_peer_revision_; }
  const GossipStats& stats() const { return stats_; }

 private:
  struct Delta {
    Revision base_revision = 0;
    uint64_t base_digest = 0;
    Revision revision = 0;
    uint64_t digest = 0;
    std::vector<uint32_t> segments;
    std::string literal;

    size_t bytes() const { return literal.size() + 4 * segments.size(); }
  };
  struct Pull {
    bool active = false;
    VmId peer = VmId::kNone;
    Revision revision = 0;
    TimePoint deadline;
    int timeouts = 0;
    // The text received so far, with the digest and size of the whole text.
    uint64_t digest = 0;
    size_t size = 0;
    std::string data;
  };

  AdoptResult AdoptText(std::string text,
                        std::string_view source,
                        VmId exclude,
                        TimePoint now);
  AdoptResult Reject(AdoptResult result,
                     const config::Deployment& offered,
                     std::string_view source);
  void SaveDelta(const std::string& old_text, Revision base_revision);
  void Push(VmId exclude);
  void StartPull(VmId peer, Revision revision, TimePoint now);
  void SendPull(TimePoint now);
  void AnswerPull(const PeerAddress& to,
                  const protocol::ConfigMessage& message);
  void ApplyDeltas(const protocol::ConfigMessage& message,
                   VmId from,
                   TimePoint now);
  void ApplyChunk(const protocol::ConfigMessage& message,
                  VmId from,
                  TimePoint now);
  void FillHeader(protocol::ConfigMessage* message) const;
  void Send(const PeerAddress& to, const protocol::ConfigMessage& message);

  const GossipOptions options_;
  const DeploymentCodec codec_;
  SendHook send_;
  PeersHook random_peers_;
  AddressHook address_of_;
  AdoptedHook on_adopted_;
  DecisionHook decide_;

  config::DeploymentPtr current_;
  std::string text_;
  uint64_t digest_ = 0;
  uint64_t lineage_ = 0;
  Revision newest_peer_revision_ = 0;
  // In ascending order; each delta is based on the revision of the previous
  // one.
  std::deque<Delta> deltas_;
  Pull pull_;
  GossipStats stats_;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_GOSSIP_H_

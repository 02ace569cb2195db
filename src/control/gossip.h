// Spreads accepted configuration revisions between VMs and holds the one that
// is in force here. A revision is adopted only upwards within its lineage.
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

// The configuration's text form. `parse` returns nothing and sets the error
// for text that is no deployment.
struct DeploymentCodec {
  std::function<std::string(const config::Deployment&)> format;
  std::function<std::optional<config::Deployment>(std::string_view text,
                                                  std::string* error)>
      parse;
};

enum class AdoptResult {
  kAdopted,
  // The revision in force already.
  kSame,
  // Older than the revision in force.
  kOlder,
  // The revision in force, with another content.
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
  // A push goes to this many random peers.
  size_t fanout = 3;
  // Larger differences are announced and pulled instead of pushed.
  size_t push_bytes = 4096;
  // Differences kept for peers that are behind.
  size_t kept_deltas = 32;
  size_t kept_delta_bytes = size_t{128} * 1024;
  size_t chunk_bytes = size_t{32} * 1024;
  size_t max_text_bytes = size_t{1024} * 1024;
  Duration pull_timeout = std::chrono::milliseconds(300);
};

struct GossipStats {
  uint64_t adopted = 0;
  uint64_t pushes = 0;
  uint64_t pulls = 0;
  uint64_t chunks = 0;
  uint64_t refused_older = 0;
  uint64_t refused_lineage = 0;
  uint64_t forks = 0;
  uint64_t malformed = 0;
};

// Hash of a lineage name as messages carry it; 0 for no lineage.
uint64_t HashOfLineage(const std::string& lineage);

// Not thread-safe. Cost: for each new revision about `fanout` messages with the
// difference from the revision before. A full copy goes only to a VM that is
// more than `kept_deltas` revisions behind.
class ConfigGossip {
 public:
  using PeersHook = std::function<std::vector<PeerAddress>(size_t count)>;
  using AddressHook = std::function<PeerAddress(VmId)>;
  // Called after each adoption, before peers are told.
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

  // A peer said what it holds; pulls it when it is newer.
  void OnPeerRevision(const PeerAddress& peer,
                      uint64_t lineage,
                      Revision revision,
                      TimePoint now);

  // Offers a text from the store or from an own proposal. `source` names it in
  // the decision log.
  AdoptResult Adopt(std::string text, std::string_view source, TimePoint now);

  // Never null; revision 0 when nothing is in force.
  const config::DeploymentPtr& current() const { return current_; }
  // Text of current(); empty for revision 0.
  const std::string& text() const { return text_; }
  const DeploymentCodec& codec() const { return codec_; }
  uint64_t lineage() const { return lineage_; }
  // Newest revision that a peer said it holds.
  Revision newest_heard() const { return newest_heard_; }
  const GossipStats& stats() const { return stats_; }

 private:
  struct Delta {
    Revision base_revision = 0;
    uint64_t base_digest = 0;
    Revision revision = 0;
    uint64_t digest = 0;
    std::vector<uint32_t> copy;
    std::string literal;

    size_t bytes() const { return literal.size() + 4 * copy.size(); }
  };
  struct Pull {
    bool active = false;
    VmId peer = VmId::kNone;
    Revision revision = 0;
    TimePoint deadline;
    int timeouts = 0;
    // Text under way.
    uint64_t digest = 0;
    size_t size = 0;
    std::string data;
  };

  AdoptResult AdoptText(std::string text,
                        std::string_view source,
                        VmId exclude,
                        TimePoint now);
  AdoptResult Refuse(AdoptResult result,
                     const config::Deployment& offered,
                     std::string_view source);
  void KeepDelta(const std::string& old_text, Revision base_revision);
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
  Revision newest_heard_ = 0;
  // Rising revisions, each based on the one before.
  std::deque<Delta> deltas_;
  Pull pull_;
  GossipStats stats_;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_GOSSIP_H_

// Keeps the configuration in the store and in force: reads and watches the
// store for its failure domain, writes proposals by compare-and-swap, resolves
// lost answers by reading back, and repairs a store that holds older content.
#ifndef MARJORAMHALL_CONTROL_STORE_RECONCILER_H_
#define MARJORAMHALL_CONTROL_STORE_RECONCILER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "src/base/decision.h"
#include "src/base/enum_names.h"
#include "src/base/time.h"
#include "src/config/deployment.h"
#include "src/control/gossip.h"
#include "src/control/store_client.h"

namespace marjoramhall::control {

enum class ProposeOutcome {
  // In the store, in force here, and being spread.
  kAccepted,
  // Another change came first; nothing of this one was written.
  kConflict,
  // The store could not be reached or used; nothing was written.
  kUnavailable,
  // The outcome could not be settled in time. Proposing again with the same
  // change id is safe and tells.
  kUnknown,
  // The proposal itself is unfit: too large, or without its change record.
  kInvalid,
};
inline constexpr EnumName<ProposeOutcome> kProposeOutcomeNames[] = {
    {ProposeOutcome::kAccepted, "accepted"},
    {ProposeOutcome::kConflict, "conflict"},
    {ProposeOutcome::kUnavailable, "unavailable"},
    {ProposeOutcome::kUnknown, "unknown"},
    {ProposeOutcome::kInvalid, "invalid"},
};
constexpr std::span<const EnumName<ProposeOutcome>> NamesOf(ProposeOutcome) {
  return kProposeOutcomeNames;
}

struct ProposeResult {
  ProposeOutcome outcome = ProposeOutcome::kUnavailable;
  // The revision that contains the change (kAccepted), else the one in force.
  Revision revision = 0;
  std::string reason;
};

using ProposeCallback = std::function<void(const ProposeResult&)>;

struct StoreReconcilerOptions {
  std::string key = "deployment";
  // Short, since a watch whose wake-up was lost hides a change for this long. A
  // fleet with 8 readers makes 6 calls/s.
  Duration watch_timeout = std::chrono::milliseconds(1500);
  // A watch without an answer is given up this long after it should have ended,
  // and a read or write after `call_timeout`.
  Duration watch_grace = std::chrono::milliseconds(500);
  Duration call_timeout = std::chrono::seconds(4);
  Duration first_retry = std::chrono::milliseconds(250);
  Duration last_retry = std::chrono::milliseconds(1500);
  // How long a VM without a configuration asks its seeds before the store.
  Duration bootstrap_wait = std::chrono::milliseconds(1500);
  Duration propose_deadline = std::chrono::seconds(8);
  // Wait between the discovery of older content and its repair, in which newer
  // revisions may still arrive from peers.
  Duration repair_settle = std::chrono::seconds(1);
  // A repair takes a revision this far above the one in force. Without the gap
  // a change accepted just before the restore, and known only behind a
  // partition, would share its revision number with the next new change.
  Revision repair_gap = 1000;
};

struct StoreReconcilerStats {
  uint64_t repairs = 0;
  uint64_t older_values = 0;
  uint64_t restores_noticed = 0;
  uint64_t foreign_values = 0;
  uint64_t read_backs = 0;
  uint64_t accepted = 0;
  uint64_t conflicts = 0;
  uint64_t abandoned_calls = 0;
};

// Not thread-safe; store callbacks must come on the same thread and may come
// after destruction. Cost: a reader has one watch waiting at a time; a proposal
// takes one read and one write when nothing fails.
class StoreReconciler {
 public:
  StoreReconciler(StoreReconcilerOptions options,
                  StoreClient store,
                  ConfigGossip& gossip,
                  Clock clock,
                  DecisionHook decide,
                  uint64_t seed);

  // Call every 50 ms or so. `reader`: this VM reads for its failure domain.
  // `has_seeds`: there are peers to ask for a first configuration.
  void OnTick(bool reader, bool has_seeds);

  // Proposes the successor of the revision in force. The newest entry of its
  // history must carry `change_id`. `done` is called exactly once, possibly
  // before this returns. A change id that is already in the history is
  // accepted with its revision and not written again.
  void Propose(const config::Deployment& next,
               const std::string& change_id,
               ProposeCallback done);

  // Time of the last successful store call; the epoch when there was none.
  TimePoint last_contact() const { return last_contact_; }
  const StoreReconcilerStats& stats() const { return stats_; }

 private:
  struct Proposal {
    std::string lineage;
    Revision revision = 0;
    std::string text;
    std::string change_id;
    ProposeCallback done;
    TimePoint deadline;
    TimePoint retry_at;
    // A call is under way.
    bool waiting = false;
    // A write may have taken effect.
    bool maybe_written = false;
    int failures = 0;
  };
  using ProposalPtr = std::shared_ptr<Proposal>;

  // The reader's part.
  void StartCall(bool repairing);
  void EndCall(StoreStatus status, StoreValue value, bool repairing);
  void HandleValue(StoreValue value, bool repairing);
  // True when the store gives the text in force another version than before.
  // Each text is written once, so the content was restored from a backup.
  bool SeemsRestored(uint64_t version);
  void OnOlderValue(uint64_t version, bool repairing);
  void WriteRepair(uint64_t version);
  void BackOff();

  // The proposer's part; revision_propose.cc.
  void TickProposal();
  void StartProposal(const ProposalPtr& it);
  void OnProposalRead(const ProposalPtr& it,
                      StoreStatus status,
                      StoreValue value);
  void WriteProposal(const ProposalPtr& it, uint64_t version);
  void OnProposalWritten(const ProposalPtr& it, StoreStatus status);
  void RetryProposal(const ProposalPtr& it, std::string_view reason);
  void Finish(const ProposalPtr& it,
              ProposeOutcome outcome,
              Revision revision,
              std::string_view reason);
  Revision FindChange(const std::string& change_id) const;

  template <typename F>
  auto Guard(F f);
  void Log(std::string_view outcome,
           Revision revision,
           std::string_view detail);

  const StoreReconcilerOptions options_;
  StoreClient store_;
  ConfigGossip& gossip_;
  Clock clock_;
  DecisionHook decide_;
  std::mt19937_64 random_;

  TimePoint started_;
  TimePoint last_contact_{};
  // Version of the store's value as last read; nothing after a failure.
  std::optional<uint64_t> known_version_;
  // Version that the store gave to a revision, as first seen here.
  Revision seen_revision_ = 0;
  uint64_t seen_version_ = 0;
  bool calling_ = false;
  // Answers of calls that were given up carry an older number.
  uint64_t call_number_ = 0;
  TimePoint call_deadline_;
  TimePoint next_call_;
  int failures_ = 0;
  // Set while the store is known to hold older content.
  std::optional<TimePoint> repair_at_;
  TimePoint older_since_;

  // The front one is under way.
  std::deque<ProposalPtr> proposals_;
  StoreReconcilerStats stats_;
  // Outlived by callbacks: they check that it still exists.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

template <typename F>
auto StoreReconciler::Guard(F f) {
  return [alive = std::weak_ptr<bool>(alive_), f = std::move(f)](
             StoreStatus status, auto answer) {
    if (!alive.expired()) {
      f(status, std::move(answer));
    }
  };
}

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_STORE_RECONCILER_H_

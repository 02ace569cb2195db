// Proposals: written by compare-and-swap, read back after a lost response, with
// exactly one result each.
#include <algorithm>
#include <utility>

#include "src/control/store_reconciler.h"

namespace marjoramhall::control {
namespace {

constexpr size_t kMaxQueuedProposals = 16;
constexpr int kMaxStoreFailures = 3;
constexpr size_t kMaxValueBytes = 1'000'000;

}  // namespace

void StoreReconciler::Propose(const config::Deployment& next,
                              const std::string& change_id,
                              ProposeCallback done) {
  auto it = std::make_shared<Proposal>();
  it->lineage = next.lineage;
  it->revision = next.revision;
  it->change_id = change_id;
  it->done = std::move(done);
  it->deadline = clock_() + options_.propose_deadline;
  it->text = gossip_.codec().format(next);
  if (const Revision found = FindChange(change_id); found != 0) {
    Finish(it, ProposeOutcome::kAccepted, found, "already in force");
    return;
  }
  if (change_id.empty() || next.lineage.empty() || next.history.empty() ||
      next.history.back().change_id != change_id) {
    Finish(it, ProposeOutcome::kInvalid, 0,
           "the proposal lacks its lineage or change record");
    return;
  }
  if (it->text.size() > kMaxValueBytes) {
    Finish(it, ProposeOutcome::kInvalid, 0,
           "the configuration is larger than a store value may be");
    return;
  }
  if (proposals_.size() >= kMaxQueuedProposals) {
    Finish(it, ProposeOutcome::kUnavailable, 0, "too many proposals wait");
    return;
  }
  proposals_.push_back(it);
  if (proposals_.size() == 1) {
    StartProposal(it);
  }
}

// Returns the revision that recorded a change, or 0.
Revision StoreReconciler::FindChange(const std::string& change_id) const {
  const auto& history = gossip_.current()->history;
  const auto it = std::find_if(
      history.rbegin(), history.rend(),
      [&](const auto& record) { return record.change_id == change_id; });
  return it == history.rend() ? 0 : it->revision;
}

void StoreReconciler::TickProposal() {
  const TimePoint now = clock_();
  // Proposals that wait for the first one also expire at their deadlines.
  while (!proposals_.empty()) {
    const auto it = std::find_if(
        proposals_.begin(), proposals_.end(),
        [&](const ProposalPtr& entry) { return now >= entry->deadline; });
    if (it == proposals_.end()) {
      break;
    }
    const ProposalPtr expired = *it;
    Finish(expired,
           expired->maybe_written ? ProposeOutcome::kUnknown
                                  : ProposeOutcome::kUnavailable,
           gossip_.current()->revision, "the store did not answer in time");
  }
  if (!proposals_.empty()) {
    const ProposalPtr front = proposals_.front();
    if (!front->call_in_progress && now >= front->retry_at) {
      StartProposal(front);
    }
  }
}

void StoreReconciler::StartProposal(const ProposalPtr& it) {
  it->call_in_progress = true;
  if (it->maybe_written) {
    ++stats_.read_backs;
  }
  store_.read(options_.key,
              Guard([this, it](StoreStatus status, StoreValue value) {
                if (it->done) {
                  OnProposalRead(it, status, std::move(value));
                }
              }));
}

void StoreReconciler::OnProposalRead(const ProposalPtr& it,
                                     StoreStatus status,
                                     StoreValue value) {
  it->call_in_progress = false;
  if (status != StoreStatus::kOk) {
    RetryProposal(it, "the store cannot be reached");
    return;
  }
  last_contact_ = clock_();
  const uint64_t version = value.version;
  AdoptResult adopted =
      version == 0 ? (gossip_.current()->revision == 0 ? AdoptResult::kSame
                                                       : AdoptResult::kOlder)
                   : gossip_.Adopt(std::move(value.value), "store", clock_());
  const bool same =
      adopted == AdoptResult::kSame || adopted == AdoptResult::kAdopted;
  if (version != 0 && same && DetectRestore(version)) {
    adopted = AdoptResult::kOlder;
  }
  const Revision current = gossip_.current()->revision;
  if (const Revision found = FindChange(it->change_id); found != 0) {
    Finish(it, ProposeOutcome::kAccepted, found, "written");
    return;
  }
  if (adopted != AdoptResult::kSame && adopted != AdoptResult::kAdopted) {
    if (adopted == AdoptResult::kOlder && !repair_at_) {
      OnOlderValue(version, false);
    }
    Finish(
        it,
        it->maybe_written ? ProposeOutcome::kUnknown
                          : ProposeOutcome::kUnavailable,
        current,
        adopted == AdoptResult::kOlder
            ? "the store was set back to older content, which is being repaired"
            : "the store holds a value that does not belong to the "
              "configuration in force");
    return;
  }
  const bool successor =
      current == 0 || (it->revision == current + 1 &&
                       it->lineage == gossip_.current()->lineage);
  if (!successor) {
    // The history is limited. A change that may have dropped out of it cannot
    // be told apart from one that was never written.
    const bool forgotten =
        it->maybe_written && current >= it->revision + config::kHistoryLimit;
    Finish(it, forgotten ? ProposeOutcome::kUnknown : ProposeOutcome::kConflict,
           current, "another revision is in force");
    return;
  }
  WriteProposal(it, version);
}

// After a lost response the write is repeated with the same expected version.
// At most one of the writes takes effect, even when an earlier one arrives
// late.
void StoreReconciler::WriteProposal(const ProposalPtr& it, uint64_t version) {
  it->call_in_progress = true;
  const bool before = std::exchange(it->maybe_written, true);
  store_.compare_and_swap(
      options_.key, version, it->text,
      Guard([this, it, before](StoreStatus status, uint64_t written) {
        if (status == StoreStatus::kOk) {
          // Adopted even if the proposer was already told "unknown".
          if (gossip_.Adopt(it->text, "proposal", clock_()) ==
              AdoptResult::kAdopted) {
            DetectRestore(written);
          }
        }
        if (it->done) {
          it->maybe_written = before || status == StoreStatus::kUnknown;
          OnProposalWritten(it, status);
        }
      }));
}

void StoreReconciler::OnProposalWritten(const ProposalPtr& it,
                                        StoreStatus status) {
  it->call_in_progress = false;
  if (status == StoreStatus::kOk) {
    last_contact_ = clock_();
    Finish(it, ProposeOutcome::kAccepted, it->revision, "written");
  } else if (status == StoreStatus::kConflict) {
    StartProposal(it);
  } else {
    RetryProposal(it, "the store did not take the write");
  }
}

void StoreReconciler::RetryProposal(const ProposalPtr& it,
                                    std::string_view reason) {
  if (++it->failures >= kMaxStoreFailures && !it->maybe_written) {
    Finish(it, ProposeOutcome::kUnavailable, gossip_.current()->revision,
           reason);
    return;
  }
  const int doublings = std::min(it->failures - 1, 4);
  it->retry_at = clock_() + std::chrono::milliseconds(100) * (1 << doublings);
}

void StoreReconciler::Finish(const ProposalPtr& it,
                             ProposeOutcome outcome,
                             Revision revision,
                             std::string_view reason) {
  std::erase(proposals_, it);
  stats_.accepted += outcome == ProposeOutcome::kAccepted ? 1 : 0;
  stats_.conflicts += outcome == ProposeOutcome::kConflict ? 1 : 0;
  Log(NameOf(outcome), it->revision, it->change_id);
  const ProposeCallback done = std::exchange(it->done, nullptr);
  done({outcome, revision, std::string(reason)});
}

}  // namespace marjoramhall::control

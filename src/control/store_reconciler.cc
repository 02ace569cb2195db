// Reads, watches and repairs the value in the store.
#include "src/control/store_reconciler.h"

#include <algorithm>
#include <utility>

namespace marjoramhall::control {

StoreReconciler::StoreReconciler(StoreReconcilerOptions options,
                                 StoreClient store,
                                 ConfigGossip& gossip,
                                 Clock clock,
                                 DecisionHook decide,
                                 uint64_t seed)
    : options_(std::move(options)),
      store_(std::move(store)),
      gossip_(gossip),
      clock_(std::move(clock)),
      decide_(std::move(decide)),
      random_(seed),
      started_(clock_()) {}

void StoreReconciler::OnTick(bool reader, bool has_seeds) {
  const TimePoint now = clock_();
  TickProposal();
  if (call_in_progress_ && now > call_deadline_) {
    ++stats_.timed_out_calls;
    ++call_number_;
    call_in_progress_ = false;
    known_version_.reset();
    ScheduleRetry();
  }
  if (call_in_progress_ || now < next_call_at_) {
    return;
  }
  const bool has_configuration = gossip_.current()->revision != 0;
  const bool asking_seeds = !has_configuration && has_seeds &&
                            now - started_ < options_.bootstrap_wait;
  if (asking_seeds || (has_configuration && !reader)) {
    known_version_.reset();
    return;
  }
  if (repair_at_) {
    if (now >= *repair_at_) {
      StartCall(true);
    }
    return;
  }
  StartCall(false);
}

void StoreReconciler::StartCall(bool repairing) {
  call_in_progress_ = true;
  const uint64_t number = ++call_number_;
  const bool watching = known_version_.has_value() && !repairing;
  call_deadline_ =
      clock_() + (watching ? options_.watch_timeout + options_.watch_grace
                           : options_.call_timeout);
  auto done =
      Guard([this, number, repairing](StoreStatus status, StoreValue value) {
        if (number == call_number_) {
          EndCall(status, std::move(value), repairing);
        }
      });
  if (watching) {
    store_.watch(options_.key, *known_version_, options_.watch_timeout,
                 std::move(done));
  } else {
    store_.read(options_.key, std::move(done));
  }
}

void StoreReconciler::EndCall(StoreStatus status,
                              StoreValue value,
                              bool repairing) {
  call_in_progress_ = false;
  if (status != StoreStatus::kOk) {
    known_version_.reset();
    ScheduleRetry();
    return;
  }
  failures_ = 0;
  last_contact_ = clock_();
  // Prevents a tight loop with a store that answers watches at once.
  next_call_at_ = last_contact_ + std::chrono::milliseconds(50);
  HandleValue(std::move(value), repairing);
  if (gossip_.current()->revision == 0) {
    next_call_at_ = last_contact_ + std::chrono::seconds(1);
  }
}

void StoreReconciler::HandleValue(StoreValue value, bool repairing) {
  known_version_ = value.version;
  if (value.version == 0) {
    if (gossip_.current()->revision != 0) {
      OnOlderValue(0, repairing);
    }
    return;
  }
  switch (gossip_.Adopt(std::move(value.value), "store", clock_())) {
    case AdoptResult::kAdopted:
    case AdoptResult::kSame:
      if (DetectRestore(value.version)) {
        OnOlderValue(value.version, repairing);
      } else {
        repair_at_.reset();
      }
      break;
    case AdoptResult::kOlder:
      OnOlderValue(value.version, repairing);
      break;
    default:
      // A foreign lineage, a fork or malformed text is never overwritten: only
      // operators can decide which content is right.
      ++stats_.foreign_values;
      repair_at_.reset();
      break;
  }
}

bool StoreReconciler::DetectRestore(uint64_t version) {
  const Revision current = gossip_.current()->revision;
  if (seen_revision_ != current) {
    seen_revision_ = current;
    seen_version_ = version;
  }
  return seen_version_ != version;
}

void StoreReconciler::OnOlderValue(uint64_t version, bool repairing) {
  ++stats_.older_values;
  const TimePoint now = clock_();
  if (!repair_at_) {
    older_value_since_ = now;
  }
  // Waits for a newer revision that a peer has reported, but only for a limited
  // time: the peer may be gone.
  const bool peers_ahead =
      gossip_.newest_peer_revision() > gossip_.current()->revision;
  const bool waited = now - older_value_since_ > 10 * options_.repair_delay;
  if (repairing && (!peers_ahead || waited)) {
    WriteRepair(version);
    return;
  }
  std::uniform_int_distribution<int64_t> jitter(
      0, options_.repair_delay.count() / 2);
  repair_at_ = now + options_.repair_delay + Duration(jitter(random_));
  Log("older-store-value", gossip_.current()->revision, "");
}

void StoreReconciler::WriteRepair(uint64_t version) {
  config::Deployment repaired = *gossip_.current();
  repaired.revision += options_.repair_revision_gap;
  std::string text = gossip_.codec().format(repaired);
  call_in_progress_ = true;
  call_deadline_ = clock_() + options_.call_timeout;
  const uint64_t number = ++call_number_;
  std::string copy = text;
  store_.compare_and_swap(options_.key, version, std::move(copy),
                          Guard([this, number, text = std::move(text)](
                                    StoreStatus status, uint64_t written) {
                            if (status == StoreStatus::kOk) {
                              ++stats_.repairs;
                              Log("repaired-store", gossip_.current()->revision,
                                  "");
                              gossip_.Adopt(text, "repair", clock_());
                              DetectRestore(written);
                            }
                            if (number != call_number_) {
                              return;
                            }
                            // Whatever the result, the next read finds the
                            // present content of the store.
                            call_in_progress_ = false;
                            repair_at_.reset();
                            known_version_.reset();
                            if (status != StoreStatus::kOk) {
                              ScheduleRetry();
                            }
                          }));
}

void StoreReconciler::ScheduleRetry() {
  const Duration base =
      std::min(options_.min_retry_delay * (1 << std::min(failures_, 10)),
               options_.max_retry_delay);
  ++failures_;
  std::uniform_int_distribution<int64_t> jitter(base.count() / 2, base.count());
  next_call_at_ = clock_() + Duration(jitter(random_));
}

void StoreReconciler::Log(std::string_view outcome,
                          Revision revision,
                          std::string_view detail) {
  if (decide_) {
    Decision decision;
    decision.kind = DecisionKind::kConfiguration;
    decision.revision = revision;
    decision.outcome = outcome;
    decision.detail = detail;
    decide_(decision);
  }
}

}  // namespace marjoramhall::control

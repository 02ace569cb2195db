// Reading, watching and repairing the store's value.
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
  if (calling_ && now > call_deadline_) {
    ++stats_.abandoned_calls;
    ++call_number_;
    calling_ = false;
    known_version_.reset();
    BackOff();
  }
  if (calling_ || now < next_call_) {
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
  calling_ = true;
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
  calling_ = false;
  if (status != StoreStatus::kOk) {
    known_version_.reset();
    BackOff();
    return;
  }
  failures_ = 0;
  last_contact_ = clock_();
  // A store that answers watches at once must not be asked in a tight loop.
  next_call_ = last_contact_ + std::chrono::milliseconds(50);
  HandleValue(std::move(value), repairing);
  if (gossip_.current()->revision == 0) {
    next_call_ = last_contact_ + std::chrono::seconds(1);
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
      if (SeemsRestored(value.version)) {
        OnOlderValue(value.version, repairing);
      } else {
        repair_at_.reset();
      }
      break;
    case AdoptResult::kOlder:
      OnOlderValue(value.version, repairing);
      break;
    default:
      // A foreign lineage, a fork or text that does not parse is never
      // overwritten: only operators can tell which side is right.
      ++stats_.foreign_values;
      repair_at_.reset();
      break;
  }
}

bool StoreReconciler::SeemsRestored(uint64_t version) {
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
    older_since_ = now;
  }
  // A peer that holds more must be heard first, but cannot hold up the repair
  // for long if it is gone.
  const bool peers_ahead = gossip_.newest_heard() > gossip_.current()->revision;
  const bool waited = now - older_since_ > 10 * options_.repair_settle;
  if (repairing && (!peers_ahead || waited)) {
    WriteRepair(version);
    return;
  }
  std::uniform_int_distribution<int64_t> jitter(
      0, options_.repair_settle.count() / 2);
  repair_at_ = now + options_.repair_settle + Duration(jitter(random_));
  Log("older-store-value", gossip_.current()->revision, "");
}

void StoreReconciler::WriteRepair(uint64_t version) {
  config::Deployment repaired = *gossip_.current();
  repaired.revision += options_.repair_gap;
  std::string text = gossip_.codec().format(repaired);
  calling_ = true;
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
                              SeemsRestored(written);
                            }
                            if (number != call_number_) {
                              return;
                            }
                            // The next read finds what is in force, whatever
                            // the answer was.
                            calling_ = false;
                            repair_at_.reset();
                            known_version_.reset();
                            if (status != StoreStatus::kOk) {
                              BackOff();
                            }
                          }));
}

void StoreReconciler::BackOff() {
  const Duration base =
      std::min(options_.first_retry * (1 << std::min(failures_, 10)),
               options_.last_retry);
  ++failures_;
  std::uniform_int_distribution<int64_t> jitter(base.count() / 2, base.count());
  next_call_ = clock_() + Duration(jitter(random_));
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

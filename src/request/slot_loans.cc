// Borrowing and lending of slots.
#include "src/request/slot_loans.h"

#include <algorithm>
#include <utility>

namespace marjoramhall::request {
namespace {

using std::chrono::milliseconds;

// The answer takes two network hops of about 0.5 ms each.
constexpr Duration kLendTimeout = milliseconds(20);
constexpr Duration kMinPause = milliseconds(5);
constexpr Duration kMaxPause = milliseconds(500);
// How long a lender remembers a refused borrower. It is shorter than
// kLendTimeout by the transit time, since the borrower gives back late slots.
constexpr Duration kRefusedRetention = milliseconds(15);
constexpr size_t kMaxRefused = 64;
constexpr size_t kMaxPendingBorrows = 4;
constexpr Duration kLoanCheckInterval = std::chrono::seconds(1);
// The lender waits longer than the borrower may use the slot.
constexpr Duration kLeaseGrace = std::chrono::seconds(1);

}  // namespace

SlotBorrower::SlotBorrower(RandomSource& random, LoanHooks hooks)
    : hooks_(std::move(hooks)), next_peer_(random.Below(1024)) {}

void SlotBorrower::RequestLoans(size_t waiting,
                                Duration max_use_time,
                                TimePoint now) {
  std::erase_if(pending_, [&](const auto& it) {
    return now - it.second.sent_at > kLendTimeout;
  });
  const auto unanswered = static_cast<size_t>(
      std::count_if(pending_.begin(), pending_.end(),
                    [](const auto& it) { return !it.second.refused; }));
  const size_t wanted = std::min(waiting, kMaxPendingBorrows);
  for (size_t n = unanswered;
       n < wanted && now >= pause_until_ && !peers_.empty(); ++n) {
    const VmId peer = peers_[next_peer_++ % peers_.size()];
    pending_[++sequence_] = {peer, now, now + max_use_time, false};
    hooks_.borrow(peer, sequence_);
  }
}

bool SlotBorrower::OnLend(VmId from,
                          uint64_t sequence,
                          TargetId target,
                          Loan* loan,
                          TimePoint now) {
  if (loans_.contains(sequence)) {
    return false;  // a reminder for a loan that is in use
  }
  const auto it = pending_.find(sequence);
  const bool wanted = it != pending_.end() && it->second.peer == from;
  if (target == TargetId::kNone) {
    if (wanted && !it->second.refused) {
      it->second.refused = true;
      // There were as many refusals in a row as there are peers.
      if (++consecutive_refusals_ >= peers_.size()) {
        consecutive_refusals_ = 0;
        pause_ = std::clamp(pause_ * 2, kMinPause, kMaxPause);
        pause_until_ = now + pause_;
      }
    }
    return false;
  }
  consecutive_refusals_ = 0;
  pause_ = Duration{0};
  *loan = {from, sequence, target, now};
  if (!wanted) {
    hooks_.give_back(from, sequence);
    return false;
  }
  loan->usable_until = it->second.usable_until;
  pending_.erase(it);
  loans_[sequence] = *loan;
  return true;
}

void SlotBorrower::GiveBack(const Loan& loan) {
  loans_.erase(loan.sequence);
  hooks_.give_back(loan.lender, loan.sequence);
}

void SlotLender::OnBorrow(VmId from,
                          Incarnation incarnation,
                          uint64_t sequence,
                          Duration max_use_time,
                          const std::function<TargetId()>& acquire,
                          TimePoint now) {
  const Key key{from, incarnation, sequence};
  const auto it = lent_slots_.find(key);
  if (it != lent_slots_.end()) {
    hooks_.lend(from, sequence, it->second.target);
    return;
  }
  const TargetId target = acquire();
  if (target != TargetId::kNone) {
    lent_slots_[key] = {target, now + max_use_time + kLeaseGrace,
                        now + kLoanCheckInterval};
  } else if (refused_borrows_.size() < kMaxRefused) {
    refused_borrows_.push_back({key, max_use_time, now + kRefusedRetention});
  }
  hooks_.lend(from, sequence, target);
}

void SlotLender::RetryRefused(const std::function<TargetId()>& acquire,
                              TimePoint now) {
  while (!refused_borrows_.empty()) {
    const RefusedBorrow it = refused_borrows_.front();
    if (now < it.expires_at) {
      const TargetId target = acquire();
      if (target == TargetId::kNone) {
        return;
      }
      lent_slots_[it.key] = {target, now + it.max_use_time + kLeaseGrace,
                             now + kLoanCheckInterval};
      hooks_.lend(it.key.vm, it.key.sequence, target);
    }
    refused_borrows_.pop_front();
  }
}

TargetId SlotLender::OnGiveBack(VmId from,
                                Incarnation incarnation,
                                uint64_t sequence) {
  const auto it = lent_slots_.find({from, incarnation, sequence});
  if (it == lent_slots_.end()) {
    return TargetId::kNone;
  }
  const TargetId target = it->second.target;
  lent_slots_.erase(it);
  return target;
}

std::vector<TargetId> SlotLender::Tick(TimePoint now) {
  std::vector<TargetId> ended;
  for (auto it = lent_slots_.begin(); it != lent_slots_.end();) {
    if (now >= it->second.expires_at) {
      ended.push_back(it->second.target);
      it = lent_slots_.erase(it);
      continue;
    }
    if (now >= it->second.next_check_at) {
      it->second.next_check_at = now + kLoanCheckInterval;
      hooks_.lend(it->first.vm, it->first.sequence, it->second.target);
    }
    ++it;
  }
  return ended;
}

}  // namespace marjoramhall::request

// Loans of slots between VMs.
#include "src/request/slot_loans.h"

#include <algorithm>
#include <utility>

namespace marjoramhall::request {
namespace {

using std::chrono::milliseconds;

// A peer answers within two hops of about 0.5 ms.
constexpr Duration kAnswerTime = milliseconds(20);
constexpr Duration kFirstPause = milliseconds(5);
constexpr Duration kLongestPause = milliseconds(500);
// A refused borrower is served when a slot becomes free within this time, which
// is shorter than its patience by the way there.
constexpr Duration kRememberTime = milliseconds(15);
constexpr size_t kMostRefused = 64;
constexpr size_t kMostAsked = 4;
constexpr Duration kAskAfter = std::chrono::seconds(1);
// The lender's lease is longer than the borrower's use.
constexpr Duration kGrace = std::chrono::seconds(1);

}  // namespace

SlotBorrower::SlotBorrower(RandomSource& random, LoanSender sender)
    : sender_(std::move(sender)), next_(random.Below(1024)) {}

void SlotBorrower::Ask(size_t waiting, Duration lease, TimePoint now) {
  std::erase_if(
      asked_, [&](const auto& it) { return now - it.second.at > kAnswerTime; });
  const auto open = static_cast<size_t>(
      std::count_if(asked_.begin(), asked_.end(),
                    [](const auto& it) { return !it.second.refused; }));
  const size_t wanted = std::min(waiting, kMostAsked);
  for (size_t n = open; n < wanted && now >= pause_until_ && !peers_.empty();
       ++n) {
    const VmId peer = peers_[next_++ % peers_.size()];
    asked_[++sequence_] = {peer, now, now + lease, false};
    sender_.borrow(peer, sequence_);
  }
}

bool SlotBorrower::OnLend(VmId from,
                          uint64_t sequence,
                          TargetId target,
                          Loan* loan,
                          TimePoint now) {
  if (loans_.contains(sequence)) {
    return false;  // the lender asks after a loan that is in use
  }
  const auto it = asked_.find(sequence);
  const bool wanted = it != asked_.end() && it->second.peer == from;
  if (target == TargetId::kNone) {
    if (wanted && !it->second.refused) {
      it->second.refused = true;
      // Every peer has been asked about once without success.
      if (++refusals_ >= peers_.size()) {
        refusals_ = 0;
        pause_ = std::clamp(pause_ * 2, kFirstPause, kLongestPause);
        pause_until_ = now + pause_;
      }
    }
    return false;
  }
  refusals_ = 0;
  pause_ = Duration{0};
  *loan = {from, sequence, target, now};
  if (!wanted) {
    sender_.give_back(from, sequence);
    return false;
  }
  loan->usable_until = it->second.usable_until;
  asked_.erase(it);
  loans_[sequence] = *loan;
  return true;
}

void SlotBorrower::GiveBack(const Loan& loan) {
  loans_.erase(loan.sequence);
  sender_.give_back(loan.lender, loan.sequence);
}

void SlotLender::OnBorrow(VmId from,
                          Incarnation process,
                          uint64_t sequence,
                          Duration lease,
                          const std::function<TargetId()>& take,
                          TimePoint now) {
  const Key key{from, process, sequence};
  const auto it = lent_.find(key);
  if (it != lent_.end()) {
    sender_.lend(from, sequence, it->second.target);
    return;
  }
  const TargetId target = take();
  if (target != TargetId::kNone) {
    lent_[key] = {target, now + lease + kGrace, now + kAskAfter};
  } else if (refused_.size() < kMostRefused) {
    refused_.push_back({key, lease, now + kRememberTime});
  }
  sender_.lend(from, sequence, target);
}

void SlotLender::ServeRefused(const std::function<TargetId()>& take,
                              TimePoint now) {
  while (!refused_.empty()) {
    const Refused it = refused_.front();
    if (now < it.until) {
      const TargetId target = take();
      if (target == TargetId::kNone) {
        return;
      }
      lent_[it.key] = {target, now + it.lease + kGrace, now + kAskAfter};
      sender_.lend(it.key.vm, it.key.sequence, target);
    }
    refused_.pop_front();
  }
}

TargetId SlotLender::OnGiveBack(VmId from,
                                Incarnation process,
                                uint64_t sequence) {
  const auto it = lent_.find({from, process, sequence});
  if (it == lent_.end()) {
    return TargetId::kNone;
  }
  const TargetId target = it->second.target;
  lent_.erase(it);
  return target;
}

std::vector<TargetId> SlotLender::Tick(TimePoint now) {
  std::vector<TargetId> ended;
  for (auto it = lent_.begin(); it != lent_.end();) {
    if (now >= it->second.ends_at) {
      ended.push_back(it->second.target);
      it = lent_.erase(it);
      continue;
    }
    if (now >= it->second.ask_at) {
      it->second.ask_at = now + kAskAfter;
      sender_.lend(it->first.vm, it->first.sequence, it->second.target);
    }
    ++it;
  }
  return ended;
}

}  // namespace marjoramhall::request

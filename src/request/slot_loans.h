// Short-term loans of slots between VMs for short requests. Leases follow
// demand within about 100 ms. A short request cannot wait that long when long
// requests occupy its VM's slots, and another VM often has a free slot.
#ifndef MARJORAMHALL_REQUEST_SLOT_LOANS_H_
#define MARJORAMHALL_REQUEST_SLOT_LOANS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/request/random_source.h"

namespace marjoramhall::request {

// A slot on loan. The borrower's sequence number identifies it.
struct Loan {
  VmId lender = VmId::kNone;
  uint64_t sequence = 0;
  TargetId target = TargetId::kNone;
  // A request may start on the loan only if its deadline is not later.
  TimePoint usable_until{};
};

// Hooks that send the messages of the loan protocol and add the service to
// them.
struct LoanHooks {
  std::function<void(VmId to, uint64_t sequence)> borrow;
  // `target` is kNone when there is no slot to lend.
  std::function<void(VmId to, uint64_t sequence, TargetId target)> lend;
  std::function<void(VmId to, uint64_t sequence)> give_back;
};

// The borrower's side of the loans of one service.
class SlotBorrower {
 public:
  SlotBorrower(RandomSource& random, LoanHooks hooks);

  void SetPeers(std::vector<VmId> peers) { peers_ = std::move(peers); }

  // Asks peers for slots for `waiting` short requests, one peer per request. A
  // borrowed slot may be used for `max_use_time`. Pauses when no peer has a
  // free slot, as in an overload.
  void RequestLoans(size_t waiting, Duration max_use_time, TimePoint now);
  // Handles the answer to RequestLoans(). Returns true and sets `loan` when a
  // slot is lent and still wanted; end that loan with GiveBack(). A slot that
  // arrives too late is given back at once.
  bool OnLend(VmId from,
              uint64_t sequence,
              TargetId target,
              Loan* loan,
              TimePoint now);
  void GiveBack(const Loan& loan);
  // Number of loans that OnLend() returned and GiveBack() has not ended.
  size_t in_use() const { return loans_.size(); }

 private:
  struct PendingBorrow {
    VmId peer;
    TimePoint sent_at;
    TimePoint usable_until;
    bool refused = false;  // the peer may still lend: see RetryRefused()
  };

  LoanHooks hooks_;
  std::vector<VmId> peers_;
  // Round robin, from a random start so that VMs begin with different peers.
  size_t next_peer_;
  uint64_t sequence_ = 0;
  std::map<uint64_t, PendingBorrow> pending_;  // by sequence
  std::map<uint64_t, Loan> loans_;             // by sequence
  TimePoint pause_until_{};
  Duration pause_{0};
  size_t consecutive_refusals_ = 0;
};

// The lender's side of the loans of one service.
class SlotLender {
 public:
  explicit SlotLender(LoanHooks hooks) : hooks_(std::move(hooks)) {}

  // Handles a borrow request. `acquire` takes a free slot and returns its
  // target, or kNone. The borrower uses the slot for up to `max_use_time`.
  void OnBorrow(VmId from,
                Incarnation incarnation,
                uint64_t sequence,
                Duration max_use_time,
                const std::function<TargetId()>& acquire,
                TimePoint now);
  // Lends slots to recently refused borrowers, for as long as `acquire` finds
  // free slots.
  void RetryRefused(const std::function<TargetId()>& acquire, TimePoint now);
  bool HasRefused() const { return !refused_borrows_.empty(); }
  // Returns the target whose slot is free again, or kNone for an unknown loan.
  TargetId OnGiveBack(VmId from, Incarnation incarnation, uint64_t sequence);
  // Sends a reminder for old loans, since a GiveBack message can be lost.
  // Returns the targets of loans that have expired.
  std::vector<TargetId> Tick(TimePoint now);

 private:
  struct Key {
    VmId vm;
    Incarnation incarnation;
    uint64_t sequence;
    bool operator<(const Key& other) const {
      return std::tie(vm, incarnation, sequence) <
             std::tie(other.vm, other.incarnation, other.sequence);
    }
  };
  struct LentSlot {
    TargetId target;
    TimePoint expires_at;
    TimePoint next_check_at;
  };

  struct RefusedBorrow {
    Key key;
    Duration max_use_time;
    TimePoint expires_at;
  };

  LoanHooks hooks_;
  std::map<Key, LentSlot> lent_slots_;
  std::deque<RefusedBorrow> refused_borrows_;  // oldest first
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_SLOT_LOANS_H_

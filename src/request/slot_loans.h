// Slots lent from one VM to another for short requests. Leases follow demand
// within some 100 ms; a short request that finds its VM's slots taken by long
// work cannot wait for that, while another VM often has a slot free.
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

// One loan, named by the borrower's sequence.
struct Loan {
  VmId lender = VmId::kNone;
  uint64_t sequence = 0;
  TargetId target = TargetId::kNone;
  // No request whose deadline is later may start on the loan.
  TimePoint usable_until{};
};

// Messages; the service is added by the sender.
struct LoanHooks {
  std::function<void(VmId to, uint64_t sequence)> borrow;
  // `target` kNone: nothing to lend.
  std::function<void(VmId to, uint64_t sequence, TargetId target)> lend;
  std::function<void(VmId to, uint64_t sequence)> give_back;
};

// The borrower's side for one service.
class SlotBorrower {
 public:
  SlotBorrower(RandomSource& random, LoanHooks hooks);

  void SetPeers(std::vector<VmId> peers) { peers_ = std::move(peers); }

  // `waiting` short requests find no slot. Asks at most one peer for each, and
  // pauses when peers have nothing, as they do in an overload.
  void RequestLoans(size_t waiting, Duration lease, TimePoint now);
  // Answer to Ask(). Returns the loan when the slot is lent and still wanted.
  // A loan that is not returned from here must be given back with GiveBack().
  bool OnLend(VmId from,
              uint64_t sequence,
              TargetId target,
              Loan* loan,
              TimePoint now);
  void GiveBack(const Loan& loan);
  // Loans in use; every one that OnLend() returned, until GiveBack().
  size_t in_use() const { return loans_.size(); }

 private:
  struct PendingBorrow {
    VmId peer;
    TimePoint at;
    TimePoint usable_until;
    bool refused = false;  // but the peer may still lend
  };

  LoanHooks hooks_;
  std::vector<VmId> peers_;
  // Peers are asked in turn, from a start that differs between VMs.
  size_t next_peer_;
  uint64_t sequence_ = 0;
  std::map<uint64_t, PendingBorrow> pending_;
  std::map<uint64_t, Loan> loans_;
  TimePoint pause_until_{};
  Duration pause_{0};
  size_t consecutive_refusals_ = 0;  // in a row
};

// The lender's side for one service.
class SlotLender {
 public:
  explicit SlotLender(LoanHooks hooks) : hooks_(std::move(hooks)) {}

  // `take` takes a free slot and names its target, or kNone.
  void OnBorrow(VmId from,
                Incarnation process,
                uint64_t sequence,
                Duration lease,
                const std::function<TargetId()>& acquire,
                TimePoint now);
  // Lends to those who were refused a moment ago, while `take` finds a slot.
  void RetryRefused(const std::function<TargetId()>& acquire, TimePoint now);
  bool HasRefused() const { return !refused_.empty(); }
  // Returns the target whose slot is free again, or kNone.
  TargetId OnGiveBack(VmId from, Incarnation process, uint64_t sequence);
  // Asks after old loans, since a return can be lost. Returns the targets of
  // loans that have run out.
  std::vector<TargetId> Tick(TimePoint now);

 private:
  struct Key {
    VmId vm;
    Incarnation process;
    uint64_t sequence;
    bool operator<(const Key& other) const {
      return std::tie(vm, process, sequence) <
             std::tie(other.vm, other.process, other.sequence);
    }
  };
  struct LentSlot {
    TargetId target;
    TimePoint expires_at;
    TimePoint next_check_at;
  };

  struct Refused {
    Key key;
    Duration lease;
    TimePoint until;
  };

  LoanHooks hooks_;
  std::map<Key, LentSlot> lent_slots_;
  std::deque<Refused> refused_;  // oldest first
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_SLOT_LOANS_H_

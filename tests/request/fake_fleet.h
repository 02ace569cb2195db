// Several request plane cores in virtual time, with a network that loses,
// repeats, delays and reorders messages, a store with outages and lost answers,
// targets that count executions, and callers that submit again elsewhere.
#ifndef MARJORAMHALL_TESTS_REQUEST_FAKE_FLEET_H_
#define MARJORAMHALL_TESTS_REQUEST_FAKE_FLEET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "src/request/random_source.h"
#include "src/request/request_plane.h"

namespace marjoramhall::request {

struct FleetOptions {
  size_t vms = 5;
  size_t targets = 6;
  uint32_t slots = 3;
  uint64_t seed = 1;
  double message_loss_ratio = 0;         // of messages between VMs
  double message_duplication_ratio = 0;  // of messages between VMs
  Duration max_extra_delay = std::chrono::milliseconds(2);
  double attempt_failure_ratio = 0;   // of attempts, half before and half after
  double lost_store_reply_ratio = 0;  // of store calls that took effect
  size_t submissions = 4;             // of one operation by its caller
  // VMs learn of each other one by one over this time after the start.
  Duration discovery_spread{0};
  RequestPlaneOptions plane;
  // Each decision of each VM, for golden files.
  std::function<void(TimePoint, size_t vm, const Decision&)> trace;
};

class FakeFleet {
 public:
  explicit FakeFleet(FleetOptions options);

  TimePoint now() const { return now_; }
  void RunFor(Duration time);
  void At(Duration after, std::function<void()> action);

  // Faults.
  void Kill(size_t vm);
  void Restart(size_t vm);
  void Pause(size_t vm) { vms_[vm].paused = true; }
  void Resume(size_t vm);
  void SetPartition(size_t a, size_t b, bool partitioned) {
    partitioned_[a][b] = partitioned_[b][a] = partitioned;
  }
  void SetOneWayPartition(size_t from, size_t to, bool partitioned) {
    partitioned_[from][to] = partitioned;
  }
  void SetStoreDown(bool down) { store_down_ = down; }
  void SetTargetDraining(size_t target);
  void Drain(size_t vm);
  void Heal();
  bool Alive(size_t vm) const { return vms_[vm].plane != nullptr; }
  RequestPlane& plane(size_t vm) { return *vms_[vm].plane; }

  // Submits an operation; keyed and not idempotent when `key` is not empty.
  // Resubmitted elsewhere until answered, or until the verdict is final.
  void Submit(size_t vm, const std::string& key, bool first = true);
  // One submission at a VM, without resubmission. Returns its number.
  size_t SubmitOnce(size_t vm, const std::string& key, size_t kind, bool first);

  // Violations of the invariants so far; empty when there are none.
  const std::vector<std::string>& violations() const { return violations_; }
  // Checks what must hold once everything has come to rest.
  void CheckAllEnded();
  // Checks that no target has more in flight than its slots and queue.
  void CheckSlots();

  size_t Executions(const std::string& key) const;
  size_t answered() const { return answered_; }
  size_t refused(RefusalReason reason) const;
  size_t InFlight(size_t target) const;
  size_t AttemptsAt(size_t target) const { return attempts_started_[target]; }
  std::string EndOfSubmission(size_t submission) const;
  size_t submissions() const { return submissions_.size(); }

  // Time that a target needs.
  std::function<Duration()> service_time;

 private:
  struct Vm {
    std::unique_ptr<RequestPlane> plane;
    Incarnation incarnation = 0;
    bool paused = false;
    bool leaving = false;
    std::deque<std::function<void()>> deferred_events;  // events during a pause
    std::vector<TimePoint> last_heard_at;               // from each VM
    std::set<size_t> members;
    uint64_t view_number = 0;
    RequestId next_id = 1;
    std::map<RequestId, size_t> live_submissions;  // live ones
    Revision revision = 0;
  };
  struct Submission {
    size_t vm = 0;
    RequestId id = 0;
    std::string key;
    bool executed = false;
    bool lost = false;  // its VM died
    size_t ends = 0;
    std::string end;
    Verdict verdict = Verdict::kNotRun;
    std::function<void()> after;
  };
  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Attempt {
    size_t vm;
    Incarnation incarnation;
    RequestId id;
    uint32_t number;
    size_t target;
    size_t sub;
    bool done = false;
  };

  bool Chance(double probability);
  Duration Delay();
  void AddViolation(std::string what);
  void Start(size_t vm);
  void Tick(size_t vm);
  // Runs an action on a VM's thread: later when paused, never when dead.
  void OnVm(size_t vm, Incarnation incarnation, std::function<void()> action);
  void UpdateViews();
  void SendMessage(size_t from, VmId to, const std::string& payload);
  void StartAttempt(size_t vm, RequestId id, uint32_t number, TargetId target);
  void EndAttempt(const std::shared_ptr<Attempt>& attempt,
                  const AttemptResult& result);
  void Execute(const std::shared_ptr<Attempt>& attempt);
  void StoreCall(size_t vm,
                 const std::optional<std::vector<KeyRangeRecord>>& records);
  void End(size_t vm, RequestId id, std::string how, Verdict verdict);
  void SubmitAgain(size_t vm,
                   const std::string& key,
                   size_t left,
                   bool first,
                   TimePoint until);
  RequestHooks MakeHooks(size_t vm);

  FleetOptions options_;
  RandomSource random_;
  TimePoint now_{std::chrono::seconds(1000)};
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Vm> vms_;
  std::vector<std::vector<bool>> partitioned_;
  std::vector<std::vector<TimePoint>>
      discovered_at_;  // when a VM learns of another
  std::shared_ptr<config::Deployment> deployment_;
  bool store_down_ = false;
  std::map<uint32_t, KeyRangeRecord> store_;
  std::vector<Submission> submissions_;
  std::map<std::string, size_t> executions_;
  std::map<RefusalReason, size_t> refusals_;
  std::vector<size_t> in_flight_;
  std::vector<size_t> attempts_started_;
  std::vector<std::shared_ptr<Attempt>> attempts_;
  std::vector<std::string> violations_;
  size_t answered_ = 0;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_TESTS_REQUEST_FAKE_FLEET_H_

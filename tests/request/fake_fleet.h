// Several request plane cores in virtual time, with fakes around them: a
// network that drops, duplicates, delays and reorders messages, a store with
// outages and lost replies, targets that count executions, and callers that
// resubmit requests at other VMs.
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
  // Half of the failures come before the request runs, half after.
  double attempt_failure_ratio = 0;
  double lost_store_reply_ratio = 0;  // of calls that took effect
  size_t submissions = 4;             // at most, of one operation
  // VMs discover each other at random times within this time after the start.
  Duration discovery_spread{0};
  RequestPlaneOptions plane;
  // Called with every decision of every VM.
  std::function<void(TimePoint, size_t vm, const Decision&)> trace;
};

class FakeFleet {
 public:
  explicit FakeFleet(FleetOptions options);

  TimePoint now() const { return now_; }
  void RunFor(Duration time);
  // Runs an action after a delay of virtual time.
  void At(Duration after, std::function<void()> action);

  // Fault injection.
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
  // Ends all faults and restarts all dead VMs.
  void Heal();
  bool Alive(size_t vm) const { return vms_[vm].plane != nullptr; }
  RequestPlane& plane(size_t vm) { return *vms_[vm].plane; }

  // Submits an operation, which is keyed and not idempotent if `key` is not
  // empty. It is resubmitted at other VMs until it is answered, or until
  // `submissions` or the retention time is used up.
  void Submit(size_t vm, const std::string& key, bool first_attempt = true);
  // Submits once, without resubmission. Returns the number of the submission.
  size_t SubmitOnce(size_t vm,
                    const std::string& key,
                    size_t kind,
                    bool first_attempt);

  // Violations of invariants so far.
  const std::vector<std::string>& violations() const { return violations_; }
  // Checks that every request has ended exactly once. Call it when no request
  // is live.
  void CheckAllEnded();
  // Checks that no target has more requests in flight than slots plus queue.
  void CheckSlots();

  // How often a keyed operation has run.
  size_t Executions(const std::string& key) const;
  size_t answered() const { return answered_; }
  size_t refused(RefusalReason reason) const;
  size_t InFlight(size_t target) const;
  // Attempts that have started at a target.
  size_t AttemptsAt(size_t target) const { return attempts_started_[target]; }
  // How a submission has ended; empty while it is live.
  std::string EndOfSubmission(size_t submission) const;
  size_t submissions() const { return submissions_.size(); }

  // Returns the service time of the next attempt.
  std::function<Duration()> service_time;

 private:
  struct Vm {
    std::unique_ptr<RequestPlane> plane;
    Incarnation incarnation = 0;
    bool paused = false;
    bool leaving = false;
    std::deque<std::function<void()>> deferred_events;  // during a pause
    std::vector<TimePoint> last_heard_at;               // by VM
    std::set<size_t> members;
    uint64_t view_number = 0;
    RequestId next_id = 1;
    std::map<RequestId, size_t> live_submissions;  // by request id
    Revision revision = 0;
  };
  struct Submission {
    size_t vm = 0;
    RequestId id = 0;
    std::string key;
    bool executed = false;
    bool lost = false;  // its VM was killed
    size_t ends = 0;
    std::string end;  // "answered", "replayed ..." or the refusal
    Verdict verdict = Verdict::kNotRun;
    std::function<void()> after;  // runs when the submission has ended
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
    size_t submission;
    bool done = false;
  };

  bool Chance(double probability);
  Duration Delay();
  void AddViolation(std::string description);
  void Start(size_t vm);
  void Tick(size_t vm);
  // Runs an action in a VM's process: after the pause if the VM is paused, and
  // never if that process has been killed.
  void OnVm(size_t vm, Incarnation incarnation, std::function<void()> action);
  // Gives each VM a new view when its members or the deployment have changed.
  void UpdateViews();
  void SendMessage(size_t from, VmId to, const std::string& payload);
  void StartAttempt(size_t vm, RequestId id, uint32_t number, TargetId target);
  void EndAttempt(const std::shared_ptr<Attempt>& attempt,
                  const AttemptResult& result);
  void Execute(const std::shared_ptr<Attempt>& attempt);
  void StoreCall(size_t vm,
                 const std::optional<std::vector<KeyRangeRecord>>& records);
  void End(size_t vm, RequestId id, std::string end, Verdict verdict);
  void SubmitAgain(size_t vm,
                   const std::string& key,
                   size_t submissions_left,
                   bool first_attempt,
                   TimePoint until);
  RequestHooks MakeHooks(size_t vm);

  FleetOptions options_;
  RandomSource random_;
  TimePoint now_{std::chrono::seconds(1000)};
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Vm> vms_;
  std::vector<std::vector<bool>> partitioned_;  // [from][to]
  // [i][j]: when VM i discovers VM j.
  std::vector<std::vector<TimePoint>> discovered_at_;
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

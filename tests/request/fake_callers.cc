// The callers of the fake fleet, and the checks of its invariants.
#include "tests/request/fake_fleet.h"

namespace marjoramhall::request {

using std::chrono::milliseconds;

void FakeFleet::End(size_t vm, RequestId id, std::string end, Verdict verdict) {
  const auto it = vms_[vm].live_submissions.find(id);
  if (it == vms_[vm].live_submissions.end()) {
    AddViolation("request has ended more than once: " + end);
    return;
  }
  Submission& submission = submissions_[it->second];
  vms_[vm].live_submissions.erase(it);
  ++submission.ends;
  submission.end = std::move(end);
  submission.verdict = verdict;
  if (verdict == Verdict::kNotRun && submission.executed) {
    AddViolation("request refused as not run has run: key " + submission.key +
                 ", " + submission.end);
  }
  if (submission.after) {
    At(milliseconds(1), submission.after);
  }
}

size_t FakeFleet::SubmitOnce(size_t vm,
                             const std::string& key,
                             size_t kind,
                             bool first_attempt) {
  Submission submission;
  submission.vm = vm;
  // Request ids restart with the process, as in a real VM.
  submission.id = vms_[vm].next_id++;
  submission.key = key;
  const size_t number = submissions_.size();
  vms_[vm].live_submissions[submission.id] = number;
  submissions_.push_back(submission);
  RequestInfo info;
  info.id = submission.id;
  info.service = static_cast<ServiceId>(1);
  info.kind = kind;
  info.caller = "caller";
  info.idempotency_key = key;
  info.fingerprint = 7;
  info.declared_first_attempt = first_attempt;
  OnVm(vm, vms_[vm].incarnation,
       [this, vm, info] { vms_[vm].plane->OnRequest(info, now_); });
  return number;
}

void FakeFleet::Submit(size_t vm, const std::string& key, bool first_attempt) {
  SubmitAgain(vm, key, options_.submissions, first_attempt,
              now_ + options_.plane.key_retention * 3 / 4);
}

void FakeFleet::SubmitAgain(size_t vm,
                            const std::string& key,
                            size_t submissions_left,
                            bool first_attempt,
                            TimePoint until) {
  while (vms_[vm].plane == nullptr) {
    vm = (vm + 1) % vms_.size();
  }
  // Callers of keyed requests resubmit after every end other than an answer.
  const size_t number = SubmitOnce(vm, key, key.empty() ? 0 : 1, first_attempt);
  if (key.empty() || submissions_left <= 1) {
    return;
  }
  auto again = [this, number, key, submissions_left, until] {
    if (submissions_[number].verdict != Verdict::kAnswered ||
        submissions_[number].lost) {
      At(Duration(random_.Below(2000000)),
         [this, key, submissions_left, until] {
           if (now_ < until) {
             SubmitAgain(random_.Below(vms_.size()), key, submissions_left - 1,
                         false, until);
           }
         });
    }
  };
  submissions_[number].after = again;
  // Some callers resubmit while the first submission is still running.
  if (Chance(0.1)) {
    again();
  }
}

void FakeFleet::CheckAllEnded() {
  for (const Submission& it : submissions_) {
    if (!it.lost && it.ends != 1) {
      AddViolation("request " + it.key + " ended " + std::to_string(it.ends) +
                   " times");
    }
  }
}

void FakeFleet::CheckSlots() {
  for (size_t i = 0; i < in_flight_.size(); ++i) {
    const auto& target = deployment_->services[0].targets[i];
    if (in_flight_[i] > target.slots + target.queue) {
      AddViolation("target " + std::to_string(i) + " has " +
                   std::to_string(in_flight_[i]) + " in flight");
    }
  }
}

size_t FakeFleet::Executions(const std::string& key) const {
  const auto it = executions_.find(key);
  return it == executions_.end() ? 0 : it->second;
}

}  // namespace marjoramhall::request

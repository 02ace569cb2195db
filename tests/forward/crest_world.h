// A counted model of callers, VMs and targets in virtual time, for loads beyond
// the capacity of a service: what callers get, beside one ideal central queue.
#ifndef MARJORAMHALL_TESTS_FORWARD_CREST_WORLD_H_
#define MARJORAMHALL_TESTS_FORWARD_CREST_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "src/forward/forwarder.h"

namespace marjoramhall::forward {

struct RequestClass {
  double per_second = 0;  // at load 1
  Duration work{0};       // mean; lognormal, with a few that take 7 times it
  Duration objective{0};
  Duration deadline{0};
  double worth = 1;
  double late_worth = 0.3;
  uint32_t priority = 0;
  Repeatability repeatability = Repeatability::kIdempotent;
};

struct LoadPhase {
  double load = 1;
  Duration span{0};
  size_t dead_targets = 0;  // that take part in nothing, from the first
  // No VM takes packets. They start anew when the phase ends, one after the
  // other within kStartSpread.
  bool vms_down = false;
  // Part of the responses that lose a packet, which is sent again after 200 ms.
  double loss = 0;
};

struct CrestOptions {
  size_t vms = 7;
  size_t targets = 14;
  uint32_t slots = 3;
  uint32_t queue = 12;
  std::vector<RequestClass> classes;
  std::vector<LoadPhase> phases;
  AdmissionOptions admission;
  // Part of the flows that reach the first VM, whatever their hash says.
  double first_vm_part = 0;
  bool ideal = false;  // one central queue instead of VMs and targets
  uint64_t seed = 1;
};

// What the callers of one class got in one phase.
struct CrestResult {
  double owed = 0;
  double credit = 0;
  uint64_t asked = 0;
  uint64_t in_objective = 0;
  uint64_t late = 0;
  uint64_t refused = 0;  // by a VM, at the last try
  uint64_t broken = 0;   // opened, and then reset by a full target
  uint64_t unanswered = 0;

  double Share() const { return owed == 0 ? 1.0 : credit / owed; }
  CrestResult& operator+=(const CrestResult& other);
};

struct PhaseResult {
  std::vector<CrestResult> classes;

  CrestResult Sum() const;
};

class CrestWorld {
 public:
  explicit CrestWorld(CrestOptions options);

  // Plays all phases, and four seconds without new requests.
  std::vector<PhaseResult> Play();

 private:
  struct Call {
    uint32_t number = 0;
    size_t phase = 0;
    size_t kind = 0;
    TimePoint asked;
    Duration work{0};
    int tries = 0;
    bool done = false;
    bool opened = false;   // in this try
    bool refused = false;  // in this try, before it opened
    FlowKey flow;
    size_t vm = 0;
    size_t target = 0;
  };
  struct TargetModel {
    uint32_t running = 0;
    std::deque<Call*> waiting;
    bool dead = false;
  };
  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  ViewPtr MakeView(size_t domain) const;
  void At(TimePoint at, std::function<void()> run);
  void Arrive(size_t phase, size_t kind);
  // Draws no number for 0, so that an option that is off changes no sequence.
  bool Happens(double part);
  void Open(Call* call);
  // One opening of a try: the first, or a copy of it.
  void SendSyn(Call* call, int copy);
  void StartVm(size_t i);
  CrestResult& ResultOf(const Call& call);
  void SendOpening(Call* call, size_t target);
  void Resend(const HeaderOnlyPacket& opening, const Target& target);
  void Reach(Call* call, size_t target);
  void Start(Call* call, TargetModel& target);
  void Finish(Call* call);
  void Retry(Call* call, bool opened);
  void RunIdeal();
  void Tell(Call* call);

  CrestOptions options_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint end_;
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Call>> calls_;     // by number
  std::vector<std::unique_ptr<Forwarder>> vms_;  // null: down
  bool ideal_is_down_ = false;
  std::vector<TargetModel> targets_;
  std::map<uint32_t, std::deque<Call*>> central_;  // by priority
  uint32_t central_running_ = 0;
  std::vector<PhaseResult> results_;
  uint32_t next_client_ = 1;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_TESTS_FORWARD_CREST_WORLD_H_

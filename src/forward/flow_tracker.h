// Flows that this VM sees open or at work, for load and health only: later
// packets find their target by the token that they carry.
#ifndef MARJORAMHALL_FORWARD_FLOW_TRACKER_H_
#define MARJORAMHALL_FORWARD_FLOW_TRACKER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "src/base/time.h"
#include "src/forward/packet.h"
#include "src/forward/view.h"

namespace marjoramhall::forward {

// Targets that one opening may be sent to, copies of the client included.
inline constexpr size_t kMaxTries = 4;
// A client gives an opening up after 1.4 s.
inline constexpr Duration kOpeningLifetime = std::chrono::milliseconds(1400);
// An answered flow without packets is forgotten after this, and one at work at
// the latest; longer than the deadlines of the deployments' requests.
inline constexpr Duration kWorkLifetime = std::chrono::seconds(8);
// How often the time of a flow is looked at.
inline constexpr Duration kExpiryStep = std::chrono::milliseconds(200);

enum class FlowPhase {
  kOpening,   // an opening was sent to a target
  kWorking,   // a request may be in progress at the target
  kOverdue,   // the same for so long that it is not counted as work any more
  kAnswered,  // the response has begun
};

struct TrackedFlow {
  FlowPhase phase = FlowPhase::kOpening;
  TargetToken token = TargetToken::kNone;  // the target that counts the work
  uint64_t route = 0;                      // RouteKeyOf()
  TimePoint opened;
  TimePoint sent;                          // of the last opening
  TimePoint worked;                        // begin of the request
  Duration overdue_after = kWorkLifetime;  // of the request in progress
  uint32_t first_ack = 0;
  // In order of use; the first `tries` are set.
  std::array<TargetToken, kMaxTries> tried{};
  uint8_t tries = 0;
  HeaderOnlyPacket opening{};
};

class FlowTracker {
 public:
  explicit FlowTracker(size_t limit) : limit_(limit) {}

  TrackedFlow* Find(const FlowKey& key);
  // Adds a flow, or null when the limit is reached. Pointers stay valid until
  // the flow is removed.
  TrackedFlow* Add(const FlowKey& key, TimePoint now);
  void Remove(const FlowKey& key);

  // Calls `overdue` for each flow whose request becomes overdue, which changes
  // its phase afterwards, and `expired` for each that is then removed.
  using Visit = std::function<void(const FlowKey&, TrackedFlow&)>;
  void Expire(TimePoint now, const Visit& overdue, const Visit& expired);

  // Asks to see an opening again at a time.
  void Schedule(const FlowKey& key, TimePoint at) {
    checks_.push_back({key, at});
  }
  // Calls `check` for the openings whose time has come.
  void RunChecks(TimePoint now, const Visit& check);

  size_t size() const { return flows_.size(); }

 private:
  struct Due {
    FlowKey key;
    TimePoint at;
  };

  const size_t limit_;
  std::unordered_map<FlowKey, TrackedFlow, FlowKeyHash> flows_;
  // Both are in order of time: all spans added are the same.
  std::deque<Due> expiry_;
  std::deque<Due> checks_;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_FLOW_TRACKER_H_

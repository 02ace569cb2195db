// A stand-in target: serves HTTP/2 requests with a limited number of slots and
// a random service time, and counts how often each request ran.
#ifndef MARJORAMHALL_LAB_HTTP_TARGET_H_
#define MARJORAMHALL_LAB_HTTP_TARGET_H_

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "src/base/endpoint.h"
#include "src/base/enum_names.h"
#include "src/base/time.h"
#include "src/net/http2_session.h"
#include "src/net/http2_transport.h"

namespace asio {
class io_context;
}

namespace marjoramhall::lab {

// Counts how often each request ran, over all targets that share the object. At
// kMaxEntries entries, further executions are not counted and `overflowed` is
// set.
struct ExecutionCounts {
  static constexpr size_t kMaxEntries = 5'000'000;
  std::unordered_map<std::string, uint32_t> by_key;
  // Requests with a method other than GET, by request id.
  std::unordered_map<std::string, uint32_t> by_id;
  std::unordered_map<std::string, uint32_t> reads_by_id;
  bool overflowed = false;

  // Counts one execution. Returns how often the key has run, or the id if the
  // key is empty.
  uint32_t Count(const std::string& key, const std::string& id, bool is_write);
};

// What the health and load endpoints report.
enum class HealthMode { kTruthful, kAlwaysOk, kAlwaysBad };
inline constexpr EnumName<HealthMode> kHealthModeNames[] = {
    {HealthMode::kTruthful, "truthful"},
    {HealthMode::kAlwaysOk, "ok"},
    {HealthMode::kAlwaysBad, "bad"},
};
constexpr std::span<const EnumName<HealthMode>> NamesOf(HealthMode) {
  return kHealthModeNames;
}

struct StandInOptions {
  Endpoint listen;
  std::string name;
  std::string service;
  // Requests that run at once.
  uint32_t slots = 3;
  // Requests that may wait for a slot. Further ones are shed with 503 and
  // "x-not-run: 1".
  uint32_t queue_limit = 0;
  // Service times are log-normal: median * exp(sigma * N(0, 1)). A request
  // overrides the median with "x-lab-work-us".
  Duration median_service_time = std::chrono::milliseconds(5);
  double sigma = 0.3;
  // This share of the requests takes straggler_factor times as long.
  double straggler_share = 0;
  double straggler_factor = 30;
  // Service times are cold_factor times as long at the start and fall linearly
  // to normal over cold_duration.
  Duration cold_duration{0};
  double cold_factor = 1;
  // Answer size for requests without "x-lab-bytes".
  uint64_t answer_bytes = 256;
  // Age of the state that the health and load endpoints report.
  Duration report_delay{0};
  uint64_t seed = 1;
};

struct StandInCounts {
  uint64_t received = 0;
  uint64_t executed = 0;
  uint64_t answered = 0;
  uint64_t shed = 0;       // with 503
  uint64_t refused = 0;    // with REFUSED_STREAM
  uint64_t cancelled = 0;  // closed before the answer was complete
  // Current numbers, and the maximum of `running`.
  uint64_t running = 0;
  uint64_t waiting = 0;
  uint64_t peak_running = 0;
};

class StandInTarget {
 public:
  // Serves the paths below "/lab/".
  using ControlHook =
      std::function<net::StreamHooks(const net::Http2SessionPtr&,
                                     int32_t stream,
                                     const net::MessageHead&)>;

  StandInTarget(asio::io_context& io,
                StandInOptions options,
                std::shared_ptr<ExecutionCounts> execution_counts,
                ControlHook control);
  ~StandInTarget();
  StandInTarget(const StandInTarget&) = delete;
  StandInTarget& operator=(const StandInTarget&) = delete;

  // Starts listening. After Kill() it listens at the same address again.
  // Returns an error, or an empty string.
  std::string Open();
  const Endpoint& local_endpoint() const { return options_.listen; }
  const StandInOptions& options() const { return options_; }
  const StandInCounts& counts() const { return counts_; }
  size_t sessions() const;

  // While draining, new requests are shed.
  void SetDraining(bool on) { draining_ = on; }
  // While refusing, new streams are reset with REFUSED_STREAM.
  void SetRefusing(bool on) { refusing_ = on; }
  // Multiplies all service times.
  void SetServiceTimeFactor(double factor) { service_time_factor_ = factor; }
  void SetHealth(HealthMode mode) { health_ = mode; }
  // Closes the listener and every connection at once.
  void Kill();
  // Sends GOAWAY; each connection closes when its requests are done.
  void Shutdown();

 private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;
  struct LoadSample {
    TimePoint at;
    uint64_t running = 0;
    uint64_t waiting = 0;
    bool draining = false;
  };

  net::StreamHooks OnRequest(const net::Http2SessionPtr& session,
                             int32_t stream,
                             const net::MessageHead& head);
  void ServeHealthOrLoad(const net::Http2SessionPtr& session,
                         int32_t stream,
                         std::string_view path);
  void TakeSlot(const JobPtr& job);
  void Execute(const JobPtr& job);
  void Answer(const JobPtr& job);
  void WriteMore(const JobPtr& job);
  void Release(const JobPtr& job);
  void OnJobClose(const JobPtr& job, net::StreamEnd end);
  Duration ServiceTime(Duration median_service_time);
  void AddSample();
  LoadSample DelayedSample() const;

  asio::io_context& io_;
  StandInOptions options_;
  std::shared_ptr<ExecutionCounts> execution_counts_;
  ControlHook control_;
  std::shared_ptr<net::Http2Counters> counters_ =
      std::make_shared<net::Http2Counters>();
  std::unique_ptr<net::Http2Listener> listener_;
  std::mt19937_64 random_;
  StandInCounts counts_;
  std::deque<JobPtr> waiting_;
  std::unordered_set<JobPtr> live_;
  std::deque<LoadSample> samples_;
  TimePoint started_;
  double service_time_factor_ = 1;
  bool draining_ = false;
  bool refusing_ = false;
  HealthMode health_ = HealthMode::kTruthful;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_TARGET_H_

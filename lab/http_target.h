// A stand-in target: serves requests over HTTP/2 with a number of slots and a
// service time distribution, and records what it executed.
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

// What ran, over all targets that share it. Bounded: beyond kMaxEntries new
// names are not counted and `overflowed` is set.
struct ExecutionLedger {
  static constexpr size_t kMaxEntries = 5'000'000;
  std::unordered_map<std::string, uint32_t> by_key;
  // Requests that change something (method other than GET) by request id.
  std::unordered_map<std::string, uint32_t> by_id;
  std::unordered_map<std::string, uint32_t> reads_by_id;
  bool overflowed = false;

  // Returns how often the key (or the id, without a key) has run by now.
  uint32_t Count(const std::string& key, const std::string& id, bool changes);
};

// What the health and load endpoints say.
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
  uint32_t slots = 3;
  // Requests that wait at the target; more are shed (503, x-not-run: 1).
  uint32_t queue = 0;
  // Service times are log-normal: median * exp(sigma * N(0, 1)). A request may
  // state its own median in "x-lab-work-us".
  Duration median = std::chrono::milliseconds(5);
  double sigma = 0.3;
  double straggler_share = 0;
  double straggler_factor = 30;
  // Service times are cold_factor times as long at the start and fall to
  // normal over cold_time.
  Duration cold_time{0};
  double cold_factor = 1;
  // Bytes of an answer without "x-lab-bytes".
  uint64_t answer_bytes = 256;
  // Age of what health and load endpoints say.
  Duration report_lag{0};
  uint64_t seed = 1;
};

struct StandInCounts {
  uint64_t received = 0;
  uint64_t executed = 0;
  uint64_t answered = 0;
  uint64_t shed = 0;
  uint64_t refused = 0;
  uint64_t cancelled = 0;
  uint64_t running = 0;
  uint64_t waiting = 0;
  uint64_t peak_running = 0;
};

class StandInTarget {
 public:
  // Serves paths below "/lab/".
  using ControlHook =
      std::function<net::StreamHooks(const net::Http2SessionPtr&,
                                     int32_t stream,
                                     const net::MessageHead&)>;

  StandInTarget(asio::io_context& io,
                StandInOptions options,
                std::shared_ptr<ExecutionLedger> ledger,
                ControlHook control);
  ~StandInTarget();
  StandInTarget(const StandInTarget&) = delete;
  StandInTarget& operator=(const StandInTarget&) = delete;

  // Listens; again after Kill(), at the same address. Returns an error or
  // nothing.
  std::string Open();
  const Endpoint& local() const { return options_.listen; }
  const StandInOptions& options() const { return options_; }
  const StandInCounts& counts() const { return counts_; }
  size_t sessions() const;

  // While draining, new work is shed.
  void SetDraining(bool on) { draining_ = on; }
  // While refusing, new streams get REFUSED_STREAM.
  void SetRefusing(bool on) { refusing_ = on; }
  // Multiplies service times.
  void SetSlowness(double factor) { slowness_ = factor; }
  void SetHealth(HealthMode mode) { health_ = mode; }
  // Closes the address and every connection at once.
  void Kill();
  // GOAWAY, then the end of each connection once its requests are done.
  void Shutdown();

 private:
  struct Job;
  using JobPtr = std::shared_ptr<Job>;
  struct Sample {
    TimePoint at;
    uint64_t running = 0;
    uint64_t waiting = 0;
    bool draining = false;
  };

  net::StreamHooks OnRequest(const net::Http2SessionPtr& session,
                             int32_t stream,
                             const net::MessageHead& head);
  void ServeReport(const net::Http2SessionPtr& session,
                   int32_t stream,
                   std::string_view path);
  void TakeSlot(const JobPtr& job);
  void Execute(const JobPtr& job);
  void Answer(const JobPtr& job);
  void WriteMore(const JobPtr& job);
  void Release(const JobPtr& job);
  void OnJobClose(const JobPtr& job, net::StreamEnd end);
  Duration ServiceTime(Duration median);
  void AddSample();
  Sample Report() const;

  asio::io_context& io_;
  StandInOptions options_;
  std::shared_ptr<ExecutionLedger> ledger_;
  ControlHook control_;
  std::shared_ptr<net::Http2Counters> counters_ =
      std::make_shared<net::Http2Counters>();
  std::unique_ptr<net::Http2Listener> listener_;
  std::mt19937_64 random_;
  StandInCounts counts_;
  std::deque<JobPtr> waiting_;
  std::unordered_set<JobPtr> live_;
  std::deque<Sample> samples_;
  TimePoint started_;
  double slowness_ = 1;
  bool draining_ = false;
  bool refusing_ = false;
  HealthMode health_ = HealthMode::kTruthful;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_TARGET_H_

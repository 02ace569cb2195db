// Metrics of a VM, exported in the Prometheus text exposition format 0.0.4.
#ifndef MARJORAMHALL_OBSERVE_METRICS_H_
#define MARJORAMHALL_OBSERVE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace marjoramhall::observe {

using Labels = std::vector<std::pair<std::string, std::string>>;

// A monotonically increasing count. Thread-safe. Cost of Add(): one relaxed
// atomic add.
class Counter {
 public:
  void Add(uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

// Counts values in fixed buckets. Thread-safe. Cost of Record(): one binary
// search over the bounds and two atomic adds.
class Histogram {
 public:
  // `bounds` are at least two inclusive upper bounds in increasing order.
  explicit Histogram(std::vector<double> bounds);
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  void Record(double value);

  const std::vector<double>& bounds() const { return bounds_; }
  // For each bound the number of values up to it, followed by the number of all
  // values.
  std::vector<uint64_t> CumulativeCounts() const;
  double Sum() const;

 private:
  struct Impl;
  std::vector<double> bounds_;
  std::unique_ptr<Impl> impl_;
};

// Bucket bounds for latencies in seconds: 100 us to 100 s, three per decade.
std::vector<double> LatencyBucketBounds();

// Owns the metrics. Add all of them before sharing the registry between
// threads; afterwards one thread at a time may call Render().
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  // Metrics with the same name share the type and help text of the first one.
  // Names must match [a-z_][a-z0-9_]*. References stay valid as long as the
  // registry.
  Counter& AddCounter(const std::string& name,
                      const std::string& help,
                      Labels labels = {});
  Histogram& AddHistogram(const std::string& name,
                          const std::string& help,
                          std::vector<double> bounds,
                          Labels labels = {});
  // Register functions that Render() calls to read the current value.
  void AddCounterCallback(const std::string& name,
                          const std::string& help,
                          std::function<double()> value,
                          Labels labels = {});
  void AddGauge(const std::string& name,
                const std::string& help,
                std::function<double()> value,
                Labels labels = {});

  // Returns the exposition text, ordered by metric name.
  std::string Render() const;

 private:
  struct Family;
  Family& GetOrAddFamily(const std::string& name,
                         const std::string& help,
                         const char* type);

  std::map<std::string, Family> families_;
};

}  // namespace marjoramhall::observe

#endif  // MARJORAMHALL_OBSERVE_METRICS_H_

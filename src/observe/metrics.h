// Metrics of a VM and their text form (Prometheus text exposition format
// 0.0.4).
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

// A count that only rises. Safe from any thread; cost: one relaxed atomic add.
class Counter {
 public:
  void Add(uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

// Counts of values in fixed buckets. Safe from any thread; cost of Record: one
// binary search over the bounds and two atomic adds.
class Histogram {
 public:
  // `bounds` are upper bounds, inclusive, rising, at least two.
  explicit Histogram(std::vector<double> bounds);
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  void Record(double value);

  const std::vector<double>& bounds() const { return bounds_; }
  // Count of values up to each bound, and of all values as the last element.
  std::vector<uint64_t> Cumulative() const;
  double Sum() const;

 private:
  struct Impl;
  std::vector<double> bounds_;
  std::unique_ptr<Impl> impl_;
};

// Bounds for latencies in seconds: 100 us to 100 s, three per decade.
std::vector<double> LatencyBounds();

// Owns the metrics. Metrics are added before the registry is shared between
// threads; Render() may then be called from any one thread at a time.
class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  // A name has one type and one help text; the first one given is used. Names
  // must match [a-z_][a-z0-9_]*. References live as long as the registry.
  Counter& AddCounter(const std::string& name,
                      const std::string& help,
                      Labels labels = {});
  Histogram& AddHistogram(const std::string& name,
                          const std::string& help,
                          std::vector<double> bounds,
                          Labels labels = {});
  // Values that are read when rendered, such as members of a Snapshot().
  void AddCounterValue(const std::string& name,
                       const std::string& help,
                       std::function<double()> value,
                       Labels labels = {});
  void AddGauge(const std::string& name,
                const std::string& help,
                std::function<double()> value,
                Labels labels = {});

  // The exposition text, in order of names.
  std::string Render() const;

 private:
  struct Family;
  Family& FamilyOf(const std::string& name,
                   const std::string& help,
                   const char* type);

  std::map<std::string, Family> families_;
};

}  // namespace marjoramhall::observe

#endif  // MARJORAMHALL_OBSERVE_METRICS_H_

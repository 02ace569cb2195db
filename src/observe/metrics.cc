// Stores histograms in Boost.Histogram and renders all metrics as text.
#include "src/observe/metrics.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <cmath>
#include <limits>

namespace marjoramhall::observe {
namespace {

namespace bh = boost::histogram;
using Axis = bh::axis::variable<double>;
using ThreadSafeCount = bh::accumulators::count<uint64_t, true>;
using Storage = bh::dense_storage<ThreadSafeCount>;

std::string EscapeText(const std::string& text) {
  std::string result;
  for (const char c : text) {
    if (c == '\n') {
      result += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') {
      result += '\\';
    }
    result += c;
  }
  return result;
}

std::string LabelText(const Labels& labels,
                      const std::string& upper_bound = "") {
  std::string text;
  for (const auto& [key, value] : labels) {
    text += (text.empty() ? "" : ",") + key + "=\"" + EscapeText(value) + "\"";
  }
  if (!upper_bound.empty()) {
    text +=
        (text.empty() ? "" : ",") + std::string("le=\"") + upper_bound + "\"";
  }
  return text.empty() ? "" : "{" + text + "}";
}

std::string HistogramText(const std::string& name,
                          const Labels& labels,
                          const Histogram& histogram) {
  std::string text;
  const std::vector<uint64_t> counts = histogram.CumulativeCounts();
  for (size_t i = 0; i < counts.size(); ++i) {
    const std::string bound = i < histogram.bounds().size()
                                  ? fmt::format("{}", histogram.bounds()[i])
                                  : "+Inf";
    text += fmt::format("{}_bucket{} {}\n", name, LabelText(labels, bound),
                        counts[i]);
  }
  text +=
      fmt::format("{}_sum{} {}\n", name, LabelText(labels), histogram.Sum());
  text +=
      fmt::format("{}_count{} {}\n", name, LabelText(labels), counts.back());
  return text;
}

}  // namespace

struct Histogram::Impl {
  explicit Impl(const std::vector<double>& bounds)
      : counts(bh::make_histogram_with(Storage(),
                                       Axis(bounds.begin(), bounds.end()))) {}

  bh::histogram<std::tuple<Axis>, Storage> counts;
  std::atomic<double> sum{0};
};

Histogram::Histogram(std::vector<double> bounds)
    : bounds_(std::move(bounds)), impl_(std::make_unique<Impl>(bounds_)) {}

Histogram::~Histogram() = default;

void Histogram::Record(double value) {
  // Boost bins exclude their upper bound, but Prometheus buckets include it.
  impl_->counts(
      std::nextafter(value, -std::numeric_limits<double>::infinity()));
  impl_->sum.fetch_add(value, std::memory_order_relaxed);
}

std::vector<uint64_t> Histogram::CumulativeCounts() const {
  std::vector<uint64_t> result;
  uint64_t total = 0;
  // Index -1 is the bin below the first bound.
  for (int i = -1; i < static_cast<int>(bounds_.size()); ++i) {
    total += impl_->counts.at(i).value();
    result.push_back(total);
  }
  return result;
}

double Histogram::Sum() const {
  return impl_->sum.load(std::memory_order_relaxed);
}

std::vector<double> LatencyBucketBounds() {
  return {0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
          0.2,    0.5,    1,      2,     5,     10,    20,   50,   100};
}

struct MetricsRegistry::Family {
  struct Series {
    Labels labels;
    std::unique_ptr<Counter> counter;
    std::unique_ptr<Histogram> histogram;
    std::function<double()> value;
  };
  std::string help;
  std::string type;
  std::vector<Series> series;
};

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

MetricsRegistry::Family& MetricsRegistry::GetOrAddFamily(
    const std::string& name,
    const std::string& help,
    const char* type) {
  Family& family = families_[name];
  if (family.type.empty()) {
    family.help = help;
    family.type = type;
  }
  return family;
}

Counter& MetricsRegistry::AddCounter(const std::string& name,
                                     const std::string& help,
                                     Labels labels) {
  auto& series = GetOrAddFamily(name, help, "counter").series.emplace_back();
  series.labels = std::move(labels);
  series.counter = std::make_unique<Counter>();
  return *series.counter;
}

Histogram& MetricsRegistry::AddHistogram(const std::string& name,
                                         const std::string& help,
                                         std::vector<double> bounds,
                                         Labels labels) {
  auto& series = GetOrAddFamily(name, help, "histogram").series.emplace_back();
  series.labels = std::move(labels);
  series.histogram = std::make_unique<Histogram>(std::move(bounds));
  return *series.histogram;
}

void MetricsRegistry::AddCounterCallback(const std::string& name,
                                         const std::string& help,
                                         std::function<double()> value,
                                         Labels labels) {
  auto& series = GetOrAddFamily(name, help, "counter").series.emplace_back();
  series.labels = std::move(labels);
  series.value = std::move(value);
}

void MetricsRegistry::AddGauge(const std::string& name,
                               const std::string& help,
                               std::function<double()> value,
                               Labels labels) {
  auto& series = GetOrAddFamily(name, help, "gauge").series.emplace_back();
  series.labels = std::move(labels);
  series.value = std::move(value);
}

std::string MetricsRegistry::Render() const {
  std::string text;
  for (const auto& [name, family] : families_) {
    text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name,
                        EscapeText(family.help), name, family.type);
    for (const Family::Series& it : family.series) {
      if (it.histogram) {
        text += HistogramText(name, it.labels, *it.histogram);
      } else if (it.counter) {
        text += fmt::format("{}{} {}\n", name, LabelText(it.labels),
                            it.counter->Value());
      } else {
        text +=
            fmt::format("{}{} {}\n", name, LabelText(it.labels), it.value());
      }
    }
  }
  return text;
}

}  // namespace marjoramhall::observe

// The two runs of the request experiment: a load peak ("crest"), and short
// requests beside long ones ("line").
#include "lab/request_experiment.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "lab/request_sim.h"

namespace marjoramhall::lab {
namespace {

constexpr SimTime kSecond = 1000000;
// Load peak: 10 s of base load, 2 s of rise, 20 s of peak load, 2 s of fall, 10
// s of base load.
constexpr SimTime kRiseStart = 10 * kSecond;
constexpr SimTime kPeakStart = 12 * kSecond;
constexpr SimTime kPeakEnd = 32 * kSecond;
constexpr SimTime kFallEnd = 34 * kSecond;
constexpr double kBaseLoad = 0.3;
constexpr double kPeakLoad = 2.0;
constexpr double kQuoteRatio = 0.1;

using PolicyFactory = std::function<std::unique_ptr<SimPolicy>()>;

struct Policy {
  const char* name;
  PolicyFactory make;
};

const std::vector<Policy>& Policies() {
  static const std::vector<Policy> kPolicies = {
      {"ideal-queue", MakeIdealQueue},
      {"marjoramhall", MakeRequestPlanePolicy},
      {"two-choices", MakeTwoChoices},
      {"round-robin", MakeRoundRobin},
      {"random", MakeRandom}};
  return kPolicies;
}

double Quantile(std::vector<double>& values, double q) {
  if (values.empty()) {
    return 0;
  }
  const auto index =
      static_cast<size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<long>(index),
                   values.end());
  return values[index];
}

// Results of a run. Latencies are in milliseconds.
struct Figures {
  double goodput = 0;  // requests per second; RunHeadOfLine() returns a ratio
  double p50_ms = 0;
  double p99_ms = 0;
  double refusal_p99_ms = 0;
  double refusal_max_ms = 0;
  double refused = 0;        // ratio to all requests
  double late = 0;           // ratio to all requests
  double control_bytes = 0;  // control bytes per VM and second
  double after_p99_ms = 0;   // from 2 s after the peak on
  double after_refused = 0;  // ratio, in the same time
};

// Measures the requests of a kind, or of all kinds if `kind` is negative, that
// arrived in [from, to).
Figures Measure(const RequestSim& sim, int kind, SimTime from, SimTime to) {
  Figures figures;
  std::vector<double> admitted;
  std::vector<double> refusals;
  double total = 0;
  double late = 0;
  double good = 0;
  for (const SimRequest& it : sim.requests()) {
    if (it.arrived < from || it.arrived >= to ||
        (kind >= 0 && it.kind != static_cast<size_t>(kind))) {
      continue;
    }
    ++total;
    const double ms = static_cast<double>(it.ended - it.arrived) / 1000;
    if (it.end == SimRequest::End::kRefused) {
      refusals.push_back(ms);
    } else {
      good += it.end == SimRequest::End::kAnswered;
      late += it.end != SimRequest::End::kAnswered;
      admitted.push_back(it.end == SimRequest::End::kNone ? 1e6 : ms);
    }
  }
  figures.goodput = good / (static_cast<double>(to - from) / 1e6);
  figures.p50_ms = Quantile(admitted, 0.5);
  figures.p99_ms = Quantile(admitted, 0.99);
  figures.refused =
      total > 0 ? static_cast<double>(refusals.size()) / total : 0;
  figures.late = total > 0 ? late / total : 0;
  figures.refusal_p99_ms = Quantile(refusals, 0.99);
  figures.refusal_max_ms = Quantile(refusals, 1);
  return figures;
}

SimConfig LoadPeakConfig(uint64_t seed) {
  SimConfig config;
  config.seed = seed;
  SimKind pull;
  pull.name = "board-pull";
  pull.straggler_ratio = 0.02;
  SimKind quote = pull;
  quote.name = "quote";
  quote.idempotent = false;
  config.kinds = {pull, quote};
  config.cold_targets = 3;
  config.cold_from = kRiseStart;
  config.cold_until = kRiseStart + 10 * kSecond;
  const double capacity = 14 * 3 * 1e6 / pull.MeanUs();
  config.rate = [capacity](size_t kind, SimTime now) {
    double load = kBaseLoad;
    if (now >= kRiseStart && now < kPeakStart) {
      load += (kPeakLoad - kBaseLoad) * static_cast<double>(now - kRiseStart) /
              static_cast<double>(kPeakStart - kRiseStart);
    } else if (now >= kPeakStart && now < kPeakEnd) {
      load = kPeakLoad;
    } else if (now >= kPeakEnd && now < kFallEnd) {
      load += (kPeakLoad - kBaseLoad) * static_cast<double>(kFallEnd - now) /
              static_cast<double>(kFallEnd - kPeakEnd);
    }
    return capacity * load * (kind == 1 ? kQuoteRatio : 1 - kQuoteRatio);
  };
  config.max_rate = capacity * kPeakLoad;
  return config;
}

// Short requests beside long ones that saturate the remaining capacity, in the
// same service or in another one.
SimConfig HeadOfLineConfig(uint64_t seed, bool one_service, bool with_long) {
  SimConfig config;
  config.seed = seed;
  config.length = 40 * kSecond;
  SimKind pull;
  pull.name = "short";
  SimKind bundle;
  bundle.name = "long";
  bundle.priority = config::Priority::kLong;
  bundle.median_us = 800000;
  bundle.deadline = 10 * kSecond;
  if (!one_service) {
    config.targets = {14, 4};
    bundle.service = 1;
  }
  config.kinds = {pull, bundle};
  const double short_rate = 0.3 * 14 * 3 * 1e6 / pull.MeanUs();
  const double left = one_service ? 0.7 * 14 * 3 : 4 * 3;
  const double long_rate = with_long ? 1.5 * left * 1e6 / bundle.MeanUs() : 0;
  config.rate = [=](size_t kind, SimTime now) {
    return kind == 0 ? short_rate : now > 5 * kSecond ? long_rate : 0;
  };
  config.max_rate = short_rate + long_rate;
  return config;
}

struct Row {
  std::string run;
  std::string policy;
  uint64_t seed;
  Figures figures;
};

void PrintRow(const Row& row) {
  std::printf(
      "%-10s %-13s %4lu %9.0f %8.1f %8.1f %7.3f %7.3f %8.2f %8.1f %8.0f %8.1f "
      "%7.3f\n",
      row.run.c_str(), row.policy.c_str(), row.seed, row.figures.goodput,
      row.figures.p50_ms, row.figures.p99_ms, row.figures.refused,
      row.figures.late, row.figures.refusal_p99_ms, row.figures.refusal_max_ms,
      row.figures.control_bytes, row.figures.after_p99_ms,
      row.figures.after_refused);
}

Figures RunLoadPeak(const Policy& policy, uint64_t seed) {
  const auto sim_policy = policy.make();
  RequestSim sim(LoadPeakConfig(seed), *sim_policy);
  double bytes_before = 0;
  double bytes_after = 0;
  sim.At(kRiseStart, [&] { bytes_before = sim_policy->ControlBytes(); });
  sim.At(kFallEnd, [&] { bytes_after = sim_policy->ControlBytes(); });
  sim.Run();
  Figures figures = Measure(sim, 0, kRiseStart, kFallEnd);
  const Figures all = Measure(sim, -1, kRiseStart, kFallEnd);
  figures.goodput = all.goodput;
  figures.refused = all.refused;
  figures.late = all.late;
  figures.refusal_p99_ms = all.refusal_p99_ms;
  figures.refusal_max_ms = all.refusal_max_ms;
  const Figures after = Measure(sim, 0, kFallEnd + 2 * kSecond, 44 * kSecond);
  figures.after_p99_ms = after.p99_ms;
  figures.after_refused = after.refused;
  figures.control_bytes = (bytes_after - bytes_before) /
                          static_cast<double>(sim.config().vms) /
                          (static_cast<double>(kFallEnd - kRiseStart) / 1e6);
  return figures;
}

// Returns the latencies of short requests. `after_p99_ms` and `after_refused`
// are those of long requests. `goodput` is the ratio of the capacity left by
// short requests that long requests used.
Figures RunHeadOfLine(const Policy& policy,
                      uint64_t seed,
                      bool one_service,
                      bool with_long) {
  const auto sim_policy = policy.make();
  const SimConfig config = HeadOfLineConfig(seed, one_service, with_long);
  RequestSim sim(config, *sim_policy);
  double bytes_before = 0;
  double bytes_after = 0;
  sim.At(10 * kSecond, [&] { bytes_before = sim_policy->ControlBytes(); });
  sim.At(40 * kSecond, [&] { bytes_after = sim_policy->ControlBytes(); });
  sim.Run();
  Figures figures = Measure(sim, 0, 10 * kSecond, 40 * kSecond);
  // Sums of the service times of requests that were answered in time, in
  // microseconds.
  double short_us = 0;
  double long_us = 0;
  for (const SimRequest& it : sim.requests()) {
    if (it.end == SimRequest::End::kAnswered && it.ended >= 10 * kSecond &&
        it.ended < 40 * kSecond) {
      (it.kind == 1 ? long_us : short_us) += static_cast<double>(it.service_us);
    }
  }
  const double slots = one_service ? 14 * 3 : 4 * 3;
  const double left = slots * 30e6 - (one_service ? short_us : 0);
  figures.goodput = long_us / left;
  const Figures bundles = Measure(sim, 1, 10 * kSecond, 40 * kSecond);
  figures.after_p99_ms = bundles.p99_ms;
  figures.after_refused = bundles.refused;
  figures.control_bytes =
      (bytes_after - bytes_before) / static_cast<double>(sim.config().vms) / 30;
  return figures;
}

std::vector<Row> RunAll(const std::vector<uint64_t>& seeds,
                        const std::string& only) {
  std::vector<Row> rows;
  const auto add = [&](const char* run, const Policy& policy, uint64_t seed,
                       const Figures& figures) {
    rows.push_back({run, policy.name, seed, figures});
    PrintRow(rows.back());
  };
  for (const uint64_t seed : seeds) {
    for (const Policy& it : Policies()) {
      if (only.empty() || only == "crest") {
        add("crest", it, seed, RunLoadPeak(it, seed));
      }
      if (only.empty() || only == "line") {
        add("alone", it, seed, RunHeadOfLine(it, seed, true, false));
        add("one-serv", it, seed, RunHeadOfLine(it, seed, true, true));
        add("two-serv", it, seed, RunHeadOfLine(it, seed, false, true));
      }
    }
  }
  return rows;
}

double MeanOf(const std::vector<Row>& rows,
              const std::string& run,
              const std::string& policy,
              double Figures::*field) {
  double sum = 0;
  double n = 0;
  for (const Row& it : rows) {
    if (it.run == run && it.policy == policy) {
      sum += it.figures.*field;
      ++n;
    }
  }
  return n > 0 ? sum / n : 0;
}

// Prints means over the seeds. docs/design.md 1.5 states the required values.
void PrintSummary(const std::vector<Row>& rows) {
  const auto mean = [&](const char* run, double Figures::*field,
                        const char* policy = "marjoramhall") {
    return MeanOf(rows, run, policy, field);
  };
  const auto ratio = [](double a, double b) { return b > 0 ? a / b : 0; };
  std::printf(
      "{\"crest_goodput_ratio\":%.4f,\"crest_p99_ratio\":%.3f,"
      "\"refusal_p99_ms\":%.2f,\"refusal_max_ms\":%.1f,"
      "\"after_p99_ms\":%.1f,\"control_bytes_per_vm_s\":%.0f,"
      "\"line_one_service_p99_ratio\":%.3f,\"line_one_service_long\":%.3f,"
      "\"line_two_services_p99_ratio\":%.3f,\"line_two_services_long\":%.3f}\n",
      ratio(mean("crest", &Figures::goodput),
            mean("crest", &Figures::goodput, "ideal-queue")),
      ratio(mean("crest", &Figures::p99_ms),
            mean("crest", &Figures::p99_ms, "ideal-queue")),
      mean("crest", &Figures::refusal_p99_ms),
      mean("crest", &Figures::refusal_max_ms),
      mean("crest", &Figures::after_p99_ms),
      mean("crest", &Figures::control_bytes),
      ratio(mean("one-serv", &Figures::p99_ms),
            mean("alone", &Figures::p99_ms)),
      mean("one-serv", &Figures::goodput),
      ratio(mean("two-serv", &Figures::p99_ms),
            mean("alone", &Figures::p99_ms)),
      mean("two-serv", &Figures::goodput));
}

bool WriteCsv(const std::vector<Row>& rows, const std::string& path) {
  std::FILE* file = std::fopen(path.c_str(), "w");
  if (file == nullptr) {
    std::fprintf(stderr, "cannot write %s\n", path.c_str());
    return false;
  }
  std::fprintf(file,
               "run,policy,seed,goodput,p50_ms,p99_ms,refused,late,"
               "refusal_p99_ms,refusal_max_ms,control_bytes,after_p99_ms,"
               "after_refused\n");
  for (const Row& it : rows) {
    std::fprintf(file,
                 "%s,%s,%lu,%.3f,%.2f,%.2f,%.4f,%.4f,%.3f,%.2f,%.0f,"
                 "%.2f,%.4f\n",
                 it.run.c_str(), it.policy.c_str(), it.seed, it.figures.goodput,
                 it.figures.p50_ms, it.figures.p99_ms, it.figures.refused,
                 it.figures.late, it.figures.refusal_p99_ms,
                 it.figures.refusal_max_ms, it.figures.control_bytes,
                 it.figures.after_p99_ms, it.figures.after_refused);
  }
  return std::fclose(file) == 0;
}

}  // namespace

int RunRequestExperiment(std::span<const std::string> args) {
  std::vector<std::string> words = {"request-experiment"};
  words.insert(words.end(), args.begin(), args.end());
  std::vector<uint64_t> seeds;
  std::string only;
  std::string csv;
  try {
    TCLAP::CmdLine line("Compares request policies in virtual time.", ' ', "0");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<size_t> count("", "seeds", "number of seeds (1 to 20)",
                                  false, 3, "N", line);
    TCLAP::ValueArg<std::string> run("", "only", "crest or line", false, "",
                                     "RUN", line);
    TCLAP::ValueArg<std::string> path("", "csv", "CSV file for the rows", false,
                                      "", "PATH", line);
    line.parse(words);
    for (uint64_t i = 1; i <= std::clamp<size_t>(count.getValue(), 1, 20);
         ++i) {
      seeds.push_back(i);
    }
    only = run.getValue();
    csv = path.getValue();
  } catch (const TCLAP::ArgException& e) {
    std::fprintf(stderr, "request-experiment: %s (%s)\n", e.error().c_str(),
                 e.argId().c_str());
    return 2;
  } catch (const TCLAP::ExitException& e) {
    return e.getExitStatus();
  }
  std::printf("%-10s %-13s %4s %9s %8s %8s %7s %7s %8s %8s %8s %8s %7s\n",
              "run", "policy", "seed", "goodput", "p50", "p99", "refused",
              "late", "refus99", "refusmax", "ctl B/s", "after99", "aft-ref");
  const std::vector<Row> rows = RunAll(seeds, only);
  PrintSummary(rows);
  return csv.empty() || WriteCsv(rows, csv) ? 0 : 1;
}

}  // namespace marjoramhall::lab

// Totals, the JSON line and the table.
#include "lab/http_load_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>

#include <nlohmann/json.hpp>

namespace marjoramhall::lab {
namespace {

void AddTo(KindReport& sum, const KindReport& it) {
  sum.requests += it.requests;
  sum.submissions += it.submissions;
  sum.answered += it.answered;
  sum.late += it.late;
  sum.refused += it.refused;
  sum.lost += it.lost;
  sum.misrouted += it.misrouted;
  sum.crossed += it.crossed;
  sum.truncated += it.truncated;
  for (const auto& [end, n] : it.end_counts) {
    sum.end_counts[end] += n;
  }
  std::copy(it.answer_us.begin(), it.answer_us.end(),
            std::back_inserter(sum.answer_us));
  std::copy(it.refusal_us.begin(), it.refusal_us.end(),
            std::back_inserter(sum.refusal_us));
}

KindReport Total(const std::vector<KindReport>& kinds) {
  KindReport sum;
  sum.name = "total";
  for (const KindReport& it : kinds) {
    AddTo(sum, it);
  }
  return sum;
}

nlohmann::json ToObject(KindReport it) {
  return {{"name", it.name},
          {"sent", it.requests},
          {"submissions", it.submissions},
          {"answered", it.answered},
          {"late", it.late},
          {"refused", it.refused},
          {"lost", it.lost},
          {"misrouted", it.misrouted},
          {"crossed", it.crossed},
          {"truncated", it.truncated},
          {"ends", it.end_counts},
          {"p50_us", Quantile(it.answer_us, 0.5)},
          {"p99_us", Quantile(it.answer_us, 0.99)},
          {"refusal_p99_us", Quantile(it.refusal_us, 0.99)}};
}

}  // namespace

uint32_t Quantile(std::vector<uint32_t>& values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(q * static_cast<double>(values.size()));
  const auto i = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return values[std::min(i, values.size() - 1)];
}

bool LoadReport::Failed() const {
  const KindReport total = Total(kinds);
  return total.misrouted + total.crossed + total.truncated +
             executions.doubled_keys + executions.doubled_ids +
             executions.false_not_run >
         0;
}

std::string LoadReport::ToJson() const {
  nlohmann::json out = ToObject(Total(kinds));
  out["seconds"] = static_cast<double>(run_time.count()) / 1e6;
  for (const KindReport& it : kinds) {
    out["kinds"].push_back(ToObject(it));
  }
  out["doubled"] = std::max(executions.doubled_keys, executions.doubled_ids);
  out["executions"] = {{"asked", executions.queried},
                       {"complete", executions.complete},
                       {"executed", executions.executed},
                       {"doubled_keys", executions.doubled_keys},
                       {"doubled_ids", executions.doubled_ids},
                       {"repeated_reads", executions.repeated_reads},
                       {"not_run", executions.not_run},
                       {"false_not_run", executions.false_not_run}};
  return out.dump();
}

std::string LoadReport::ToTable() const {
  char line[256];
  std::string out;
  const auto add = [&](const char* format, auto... values) {
    std::snprintf(line, sizeof(line), format, values...);
    out += line;
  };
  add("%-12s %8s %8s %8s %8s %6s %9s %7s %9s %9s\n", "kind", "sent", "answered",
      "refused", "lost", "late", "misrouted", "crossed", "p50 ms", "p99 ms");
  std::vector<KindReport> rows = kinds;
  rows.push_back(Total(kinds));
  for (KindReport& it : rows) {
    add("%-12s %8lu %8lu %8lu %8lu %6lu %9lu %7lu %9.2f %9.2f\n",
        it.name.c_str(), it.requests, it.answered, it.refused, it.lost, it.late,
        it.misrouted, it.crossed + it.truncated,
        Quantile(it.answer_us, 0.5) / 1e3, Quantile(it.answer_us, 0.99) / 1e3);
  }
  for (const auto& [end, n] : rows.back().end_counts) {
    add("  %-40s %8lu\n", end.c_str(), n);
  }
  if (executions.queried) {
    add("executed %lu, keys run twice %lu, ids run twice %lu, not run %lu, "
        "of these run %lu%s\n",
        executions.executed, executions.doubled_keys, executions.doubled_ids,
        executions.not_run, executions.false_not_run,
        executions.complete ? "" : " (some targets did not answer)");
  }
  return out;
}

}  // namespace marjoramhall::lab

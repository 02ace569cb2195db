// Weighted rendezvous placement with balancing.
#include "src/flow/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marjoramhall::flow {
namespace {

using Counts = std::vector<uint32_t>;

// Scores of all buckets for all targets, lower is better: -ln(u) / weight with
// u uniform is won by each target in proportion to its weight.
class Scores {
 public:
  explicit Scores(const std::vector<config::Target>& targets)
      : target_count_(targets.size()), values_(targets.size() * kBucketCount) {
    for (uint32_t b = 0; b < kBucketCount; ++b) {
      for (size_t t = 0; t < target_count_; ++t) {
        const uint64_t buf[2] = {b, ToInteger(targets[t].id)};
        const uint64_t hash = XXH3_64bits(buf, sizeof(buf));
        const double u = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
        const double weight = std::max<uint32_t>(targets[t].weight, 1);
        values_[b * target_count_ + t] = -std::log(u) / weight;
      }
    }
  }

  double At(uint32_t bucket, size_t target) const {
    return values_[bucket * target_count_ + target];
  }

 private:
  size_t target_count_;
  std::vector<double> values_;
};

// Largest-remainder shares of the buckets; targets that do not count get 0.
Counts Quotas(const std::vector<config::Target>& targets, bool draining_too) {
  Counts quotas(targets.size(), 0);
  uint64_t total = 0;
  for (const auto& it : targets) {
    if (draining_too || it.state == config::TargetState::kActive) {
      total += it.weight;
    }
  }
  if (total == 0) {
    return quotas;
  }
  std::vector<std::pair<uint64_t, size_t>> remainders;
  uint32_t given = 0;
  for (size_t i = 0; i < targets.size(); ++i) {
    if (!draining_too && targets[i].state != config::TargetState::kActive) {
      continue;
    }
    const uint64_t share = uint64_t{targets[i].weight} * kBucketCount;
    quotas[i] = static_cast<uint32_t>(share / total);
    given += quotas[i];
    if (targets[i].weight > 0) {
      remainders.emplace_back(share % total, i);
    }
  }
  std::sort(remainders.begin(), remainders.end(), [](auto& a, auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  for (size_t i = 0; given < kBucketCount; ++i, ++given) {
    ++quotas[remainders[i % remainders.size()].second];
  }
  return quotas;
}

// Moves buckets from targets over quota to targets under quota: each target
// gives up the buckets that it won least clearly.
void Balance(const Scores& scores,
             const Counts& quotas,
             std::vector<size_t>& owner) {
  Counts counts(quotas.size(), 0);
  for (const size_t t : owner) {
    ++counts[t];
  }
  std::vector<std::pair<double, uint32_t>> surplus;
  for (size_t t = 0; t < quotas.size(); ++t) {
    if (counts[t] <= quotas[t]) {
      continue;
    }
    std::vector<std::pair<double, uint32_t>> held;
    for (uint32_t b = 0; b < kBucketCount; ++b) {
      if (owner[b] == t) {
        held.emplace_back(scores.At(b, t), b);
      }
    }
    std::sort(held.rbegin(), held.rend());
    held.resize(counts[t] - quotas[t]);
    surplus.insert(surplus.end(), held.begin(), held.end());
  }
  std::sort(surplus.begin(), surplus.end());
  for (const auto& [score, bucket] : surplus) {
    size_t best = quotas.size();
    for (size_t t = 0; t < quotas.size(); ++t) {
      if (counts[t] < quotas[t] &&
          (best == quotas.size() ||
           scores.At(bucket, t) < scores.At(bucket, best))) {
        best = t;
      }
    }
    --counts[owner[bucket]];
    ++counts[best];
    owner[bucket] = best;
  }
}

}  // namespace

Placement ComputePlacement(const config::Service& service) {
  Placement result(kBucketCount, TargetId::kNone);
  const auto& targets = service.targets;
  const Counts active = Quotas(targets, false);
  if (std::accumulate(active.begin(), active.end(), 0U) == 0) {
    return result;
  }
  const Scores scores(targets);
  std::vector<size_t> owner(kBucketCount, 0);
  for (uint32_t b = 0; b < kBucketCount; ++b) {
    for (size_t t = 1; t < targets.size(); ++t) {
      if (scores.At(b, t) < scores.At(b, owner[b])) {
        owner[b] = t;
      }
    }
  }
  Balance(scores, Quotas(targets, true), owner);
  Balance(scores, active, owner);
  for (uint32_t b = 0; b < kBucketCount; ++b) {
    result[b] = targets[owner[b]].id;
  }
  return result;
}

size_t CountMoved(const Placement& before, const Placement& after) {
  size_t moved = 0;
  for (size_t b = 0; b < std::min(before.size(), after.size()); ++b) {
    moved += before[b] != after[b] ? 1 : 0;
  }
  return moved;
}

}  // namespace marjoramhall::flow

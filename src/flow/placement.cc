// Weighted rendezvous placement with a balancing pass.
#include "src/flow/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marjoramhall::flow {
namespace {

using Counts = std::vector<uint32_t>;

// Rendezvous score of each target for each bucket. The lowest score wins. With
// u uniform in (0, 1), the score -ln(u) / weight makes each target win buckets
// in proportion to its weight.
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

// Number of buckets for each target by the largest remainder method. Draining
// targets get 0 unless `include_draining` is set.
Counts Quotas(const std::vector<config::Target>& targets,
              bool include_draining) {
  Counts quotas(targets.size(), 0);
  uint64_t total = 0;
  for (const auto& it : targets) {
    if (include_draining || it.state == config::TargetState::kActive) {
      total += it.weight;
    }
  }
  if (total == 0) {
    return quotas;
  }
  std::vector<std::pair<uint64_t, size_t>> remainders;
  uint32_t assigned = 0;
  for (size_t i = 0; i < targets.size(); ++i) {
    if (!include_draining && targets[i].state != config::TargetState::kActive) {
      continue;
    }
    const uint64_t share = uint64_t{targets[i].weight} * kBucketCount;
    quotas[i] = static_cast<uint32_t>(share / total);
    assigned += quotas[i];
    if (targets[i].weight > 0) {
      remainders.emplace_back(share % total, i);
    }
  }
  std::sort(remainders.begin(), remainders.end(), [](auto& a, auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  for (size_t i = 0; assigned < kBucketCount; ++i, ++assigned) {
    ++quotas[remainders[i % remainders.size()].second];
  }
  return quotas;
}

// Moves buckets from targets above their quota to targets below it. A target
// gives up the buckets for which its score is worst.
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
    std::vector<std::pair<double, uint32_t>> owned;
    for (uint32_t b = 0; b < kBucketCount; ++b) {
      if (owner[b] == t) {
        owned.emplace_back(scores.At(b, t), b);
      }
    }
    std::sort(owned.rbegin(), owned.rend());
    owned.resize(counts[t] - quotas[t]);
    surplus.insert(surplus.end(), owned.begin(), owned.end());
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

size_t CountMovedBuckets(const Placement& before, const Placement& after) {
  size_t moved = 0;
  for (size_t b = 0; b < std::min(before.size(), after.size()); ++b) {
    moved += before[b] != after[b] ? 1 : 0;
  }
  return moved;
}

}  // namespace marjoramhall::flow

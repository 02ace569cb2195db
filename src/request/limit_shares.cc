// Rate limit shares by demand.
#include "src/request/limit_shares.h"

#include <algorithm>
#include <cmath>

#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {
namespace {

// Ratio of a limit that is split evenly regardless of demand. The even share of
// an idle VM is unused, so this stays well below the required accuracy of 10%.
constexpr double kEvenShareRatio = 0.04;

}  // namespace

void LimitShares::SetMembers(std::vector<VmId> members) {
  members_ = std::move(members);
  std::erase_if(demands_, [&](const auto& it) {
    return std::find(members_.begin(), members_.end(), it.first) ==
           members_.end();
  });
}

bool LimitShares::OnReport(VmId from, const protocol::SlotReport& report) {
  Demand demand;
  demand.kinds.assign(report.kind_rates().begin(), report.kind_rates().end());
  for (const auto& it : report.callers()) {
    demand.callers[{it.kind(), it.caller()}] = it.rate();
  }
  Demand& old = demands_[from];
  const bool changed =
      old.kinds != demand.kinds || old.callers != demand.callers;
  old = std::move(demand);
  return changed;
}

uint32_t LimitShares::ShareOf(double own, double total) const {
  const double n = std::max<double>(1, static_cast<double>(members_.size()));
  const double by_demand = total > 0 ? own / total : 1 / n;
  const double share = (1 - kEvenShareRatio) * by_demand + kEvenShareRatio / n;
  return static_cast<uint32_t>(std::max(1L, std::lround(share * kFullShare)));
}

void LimitShares::AddShares(VmId vm, protocol::SlotGrant& grant) const {
  const auto own = demands_.find(vm);
  if (own == demands_.end()) {
    return;
  }
  for (size_t i = 0; i < own->second.kinds.size(); ++i) {
    double total = 0;
    for (const auto& [id, demand] : demands_) {
      total += i < demand.kinds.size() ? demand.kinds[i] : 0;
    }
    grant.add_kind_shares(ShareOf(own->second.kinds[i], total));
  }
  for (const auto& [key, rate] : own->second.callers) {
    double total = 0;
    for (const auto& [id, demand] : demands_) {
      const auto it = demand.callers.find(key);
      total += it == demand.callers.end() ? 0 : it->second;
    }
    auto* share = grant.add_callers();
    share->set_kind(key.first);
    share->set_caller(key.second);
    share->set_share(ShareOf(rate, total));
  }
}

}  // namespace marjoramhall::request

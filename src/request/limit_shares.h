// Divides a service's rate limits among VMs by the demand that they report.
#ifndef MARJORAMHALL_REQUEST_LIMIT_SHARES_H_
#define MARJORAMHALL_REQUEST_LIMIT_SHARES_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "src/base/ids.h"

namespace marjoramhall::protocol {
class SlotGrant;
class SlotReport;
}  // namespace marjoramhall::protocol

namespace marjoramhall::request {

// The value of a share of one in SlotGrant messages.
inline constexpr double kFullShare = 65535;

class LimitShares {
 public:
  void SetMembers(std::vector<VmId> members);
  // Returns true when the shares of other VMs have changed, so that every VM
  // needs a new grant.
  bool OnReport(VmId from, const protocol::SlotReport& report);
  // Adds the VM's shares to its grant.
  void AddShares(VmId vm, protocol::SlotGrant& grant) const;

 private:
  using CallerKey = std::pair<uint32_t, uint64_t>;  // kind, caller
  struct Demand {
    std::vector<uint32_t> kinds;            // rates by kind
    std::map<CallerKey, uint32_t> callers;  // rates
  };

  // The share of a member with demand `own` out of `total`, in units of
  // 1/kFullShare. Every member gets a small share regardless of demand, so that
  // its first request is not refused. The shares of all members sum to one.
  uint32_t ShareOf(double own, double total) const;

  std::vector<VmId> members_;
  std::map<VmId, Demand> demands_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_LIMIT_SHARES_H_

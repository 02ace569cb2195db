// Shares of a service's rate limits by VM, from the demand that the VMs report.
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

class LimitShares {
 public:
  void SetMembers(std::vector<VmId> members);
  // Returns true when the shares of other VMs have moved and all VMs need a
  // grant.
  bool OnReport(VmId from, const protocol::SlotReport& report);
  void AddShares(VmId vm, protocol::SlotGrant& grant) const;

 private:
  using CallerKey = std::pair<uint32_t, uint64_t>;  // kind, caller
  struct Demand {
    std::vector<uint32_t> kinds;
    std::map<CallerKey, uint32_t> callers;
  };

  // Share of `own` in `total` over the members. Every VM keeps a small part, so
  // that its first request is not refused; the parts of all sum to one.
  uint32_t ShareOf(double own, double total) const;

  std::vector<VmId> members_;
  std::map<VmId, Demand> demands_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_LIMIT_SHARES_H_

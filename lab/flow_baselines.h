// Flow routing designs without shared state, for comparison in virtual time.
#ifndef MARJORAMHALL_LAB_FLOW_BASELINES_H_
#define MARJORAMHALL_LAB_FLOW_BASELINES_H_

#include <span>
#include <string>
#include <string_view>

#include "lab/flow_node.h"

namespace marjoramhall::lab {

enum class FlowDesign {
  // FlowRouter of src/flow.
  kMarjoramhall,
  // Each packet goes to the target with the highest weighted hash of the flow.
  kRendezvous,
  // Maglev hashing with a lookup table of 65,537 slots.
  kMaglev,
  // Each VM sends an unknown flow to the next target in turn and remembers it.
  kRoundRobin,
};
inline constexpr EnumName<FlowDesign> kFlowDesignNames[] = {
    {FlowDesign::kMarjoramhall, "marjoramhall"},
    {FlowDesign::kRendezvous, "rendezvous"},
    {FlowDesign::kMaglev, "maglev"},
    {FlowDesign::kRoundRobin, "round-robin"},
};
constexpr std::span<const EnumName<FlowDesign>> NamesOf(FlowDesign) {
  return kFlowDesignNames;
}

// Returns a factory for the VMs of a design. `options` applies to kMarjoramhall
// only.
FlowNodeFactory MakeFlowNodes(FlowDesign design,
                              const flow::FlowOptions& options);

// Simulates a drain, a kill and a rolling restart with each design and prints a
// table and one JSON line. Arguments: --vms N, --flows N, --seed N, --design
// NAME. Returns 0, or 2 for invalid arguments.
int RunFlowExperiment(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FLOW_BASELINES_H_

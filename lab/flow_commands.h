// Commands of the lab tool for the flow plane.
#ifndef MARJORAMHALL_LAB_FLOW_COMMANDS_H_
#define MARJORAMHALL_LAB_FLOW_COMMANDS_H_

#include <span>
#include <string>

namespace marjoramhall::lab {

// Stand-in packet targets, callers and a fabric in one process: opens flows at
// a steady rate, sends each packet of a flow to a random VM, and checks that
// every flow stays on one target of its service. Prints "ready", a table and
// one JSON line; ends after --duration or at SIGTERM. Returns 0 when no flow
// was broken or misrouted, 1 otherwise, 2 for bad arguments.
//   --vm 127.0.0.1:P              fabric address of a VM (repeatable)
//   --vm-list FILE                the fabric's list of VMs, re-read while it
//   runs
//   --service IP:PORT=EP,EP,...   a service's flow address and the flow
//                                 endpoints of its targets, which this process
//                                 binds (repeatable)
//   --rate N      new flows per second        --duration SECONDS
//   --interval-ms pause between packets of a flow
//   --lifetime-ms time from first to last packet of a flow; 0: to the end
//   --size        bytes of payload            --seed
int RunFlowLoad(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FLOW_COMMANDS_H_

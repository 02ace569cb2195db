// The lab command for load on the flow plane.
#ifndef MARJORAMHALL_LAB_FLOW_COMMANDS_H_
#define MARJORAMHALL_LAB_FLOW_COMMANDS_H_

#include <span>
#include <string>

namespace marjoramhall::lab {

// Stand-in targets and clients in one process: opens flows at a steady rate,
// sends each packet of a flow to a random VM, as the fabric does, and checks
// that every flow stays on one target of its service. Prints "ready", a table
// and one JSON line. Ends after --duration or on SIGTERM. Returns 0 if no flow
// was broken or misrouted, 1 otherwise, 2 for invalid arguments.
//   --vm 127.0.0.1:PORT           fabric address of a VM (repeatable)
//   --vm-list FILE                file with the fabric addresses of VMs, which
//                                 is read again while the command runs
//   --service IP:PORT=EP,EP,...   flow address of a service and the flow
//                                 endpoints of its targets, which this process
//                                 binds (repeatable)
//   --rate N                      new flows per second
//   --duration SECONDS
//   --interval-ms MS              time between packets of a flow
//   --lifetime-ms MS              time from the first to the last packet of a
//                                 flow; 0: until the end of the run
//   --size N                      payload bytes per packet
//   --seed N
int RunFlowLoad(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FLOW_COMMANDS_H_

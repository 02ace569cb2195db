// Log lines about how a VM keeps up with the store. Together with the lines of
// the target registry they tell when, by which call and at which revision a VM
// learnt of a change (docs/OPERATIONS.md).
#ifndef MARJORAMHALL_APP_DISCOVERY_LOG_H_
#define MARJORAMHALL_APP_DISCOVERY_LOG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "src/base/decision.h"
#include "src/base/endpoint.h"
#include "src/base/time.h"
#include "src/discovery/store_follower.h"

namespace marjoramhall::app {

// Entries of the store arrived. The lines that follow say what they changed.
// `age`: time since the view was confirmed, if there was one.
void LogViewUpdate(const DecisionHook& log_decision,
                   discovery::UpdateSource source,
                   StorePosition position,
                   size_t entries,
                   std::optional<Duration> age);

// The store became reachable or unreachable.
void LogStoreReachable(const DecisionHook& log_decision,
                       bool reachable,
                       discovery::ReadStatus status,
                       uint64_t config_version);

// The store has to be listed again, for the reason that the status gives.
void LogRelisting(const DecisionHook& log_decision,
                  StorePosition from,
                  discovery::ReadStatus status);

// The view of this VM comes from the store or from a relay from now on. `age`
// is that of the relay's view if the relay answered.
void LogViewSource(const DecisionHook& log_decision,
                   discovery::ViewSource source,
                   StorePosition position,
                   const Endpoint& relay,
                   std::optional<Duration> age);

// A duration in whole milliseconds, with the unit.
std::string MillisecondsText(Duration span);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_DISCOVERY_LOG_H_

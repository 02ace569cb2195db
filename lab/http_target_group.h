// The stand-in targets of one process, their execution counts and the control
// paths below "/lab/".
#ifndef MARJORAMHALL_LAB_HTTP_TARGET_GROUP_H_
#define MARJORAMHALL_LAB_HTTP_TARGET_GROUP_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "lab/http_target.h"

namespace marjoramhall::lab {

// Control paths, served at every target's address:
//   GET  /lab/stats       counts of all targets and what ran more than once
//   POST /lab/executions  takes request ids, one per line; returns how many of
//                         them ran
//   POST /lab/control?target=NAME&drain=0|1&refuse=0|1&slow=FACTOR
//        &health=truthful|ok|bad&kill=1&revive=1   ("*": all targets)
class TargetGroup {
 public:
  explicit TargetGroup(asio::io_context& io) : io_(io) {}

  // Adds and opens a target. Returns an error, or an empty string.
  std::string Add(StandInOptions options);
  const std::vector<std::unique_ptr<StandInTarget>>& targets() const {
    return targets_;
  }
  const ExecutionCounts& execution_counts() const { return *execution_counts_; }
  std::string StatsJson() const;
  // Applies the query string of /lab/control. Returns an error, or an empty
  // string.
  std::string ApplyControlQuery(std::string_view query);
  void Shutdown();
  size_t sessions() const;

 private:
  net::StreamHooks Serve(const net::Http2SessionPtr& session,
                         int32_t stream,
                         const net::MessageHead& head);
  std::string ExecutionsJson(std::string_view ids) const;
  // "kill" and "revive" are posted to the io_context, since the current call
  // may run in a session of that target.
  std::string ApplyControl(StandInTarget& target,
                           std::string_view name,
                           std::string_view value);

  asio::io_context& io_;
  std::shared_ptr<ExecutionCounts> execution_counts_ =
      std::make_shared<ExecutionCounts>();
  std::vector<std::unique_ptr<StandInTarget>> targets_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_TARGET_GROUP_H_

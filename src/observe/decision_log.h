// The log of a VM: one JSON object a line, for decisions of the planes and for
// messages of the process.
#ifndef MARJORAMHALL_OBSERVE_DECISION_LOG_H_
#define MARJORAMHALL_OBSERVE_DECISION_LOG_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/decision.h"
#include "src/base/log_level.h"

namespace marjoramhall::observe {

struct DecisionLogOptions {
  std::string vm;              // name of this VM, on every line
  std::filesystem::path path;  // appended to; empty: a standard stream
  // The stream of an empty path: standard output instead of standard error.
  bool standard_output = false;
  LogLevel level = LogLevel::kInfo;
  DecisionLogging decisions = DecisionLogging::kAll;
  size_t queue_lines = 8192;  // about 400 bytes each, allocated at Open()
  // Replaces the file when set. Called on the log's own thread with whole
  // lines, one at a time.
  std::function<void(std::string_view line)> sink;
};

// Lines are handed to a bounded queue and written by a thread of the log. When
// the queue is full, its oldest line is dropped and counted; a caller waits
// for no I/O. All calls but Open() are safe from any thread. The destructor
// writes what is queued.
//
// A line has: time (UTC, microseconds), level, vm, and either kind, service,
// target, peer, subject, revision, outcome, reason and detail of a decision
// (absent when not set), or kind "message" with detail.
class DecisionLog {
 public:
  explicit DecisionLog(DecisionLogOptions options);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  // Opens the file and starts the thread. Returns an error that names the
  // path, or an empty string. Without it every line is discarded.
  std::string Open();

  // Logs a decision if its kind and level are chosen. Cost: formatting of one
  // line of about 200 bytes and one queue operation.
  void Write(const Decision& decision);

  // Logs a message. `text` must hold no secret.
  void Message(LogLevel level, std::string_view text);

  // Writes the count of lines dropped since the last call, if any, and flushes
  // the file. To be called about once a second.
  void Maintain();

  // Lines dropped since Open().
  uint64_t Dropped() const;
  // Failed writes, such as on a full disk, since Open().
  uint64_t Failed() const;

  // A hook that calls Write(). The log must outlive it.
  DecisionHook Hook();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::observe

#endif  // MARJORAMHALL_OBSERVE_DECISION_LOG_H_

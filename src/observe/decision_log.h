// The log of a VM. Each line is a JSON object that holds a decision of a plane
// or a message of the process.
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
  std::string vm;              // name of this VM, written on every line
  std::filesystem::path path;  // appended to; empty: a standard stream
  // With an empty path, write to standard output instead of standard error.
  bool standard_output = false;
  LogLevel level = LogLevel::kInfo;
  DecisionLogging decisions = DecisionLogging::kAll;
  // Capacity of the queue in lines of about 400 bytes, allocated by Open().
  size_t queue_lines = 8192;
  // If set, receives whole lines instead of the file. Called on the thread of
  // the log, one line at a time.
  std::function<void(std::string_view line)> sink;
};

// Callers append lines to a bounded queue, and a thread of the log writes them,
// so that no caller waits for I/O. When the queue is full, its oldest line is
// dropped and counted. All methods except Open() are thread-safe. The
// destructor writes the queued lines.
//
// Every line has time (UTC, microseconds), level, vm and kind. A decision adds
// service, target, peer, subject, revision, outcome, reason and detail, each
// only if it is set. A message has kind "message" and detail.
class DecisionLog {
 public:
  explicit DecisionLog(DecisionLogOptions options);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  // Opens the file and starts the thread. Returns an error that names the
  // path, or an empty string. Lines written before a successful Open() are
  // discarded.
  std::string Open();

  // Logs a decision if the options select its kind and level. Cost: formatting
  // a line of about 200 bytes and one queue operation.
  void Write(const Decision& decision);

  // Logs a message. `text` must not contain a secret.
  void WriteMessage(LogLevel level, std::string_view text);

  // Logs how many lines were dropped since the last call, if any, and flushes
  // the file. Call this every second or two.
  void ReportDropsAndFlush();

  // Number of lines dropped since Open().
  uint64_t DroppedLines() const;
  // Number of writes that failed since Open(), for example on a full disk.
  uint64_t FailedWrites() const;

  // Returns a hook that calls Write(). The log must outlive the hook.
  DecisionHook Hook();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::observe

#endif  // MARJORAMHALL_OBSERVE_DECISION_LOG_H_

// Implements the log with an asynchronous spdlog logger, whose thread pool
// drops and counts the oldest entries when its queue is full.
#include "src/observe/decision_log.h"

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <atomic>
#include <iterator>
#include <mutex>
#include <utility>

namespace marjoramhall::observe {
namespace {

using Line = fmt::memory_buffer;

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

LogLevel LevelOf(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kDropPacket:
    case DecisionKind::kRefuseRequest:
    case DecisionKind::kTargetHealth:
      return LogLevel::kWarning;
    default:
      return LogLevel::kInfo;
  }
}

bool IsRareKind(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kRouteFlow:
    case DecisionKind::kRouteRequest:
    case DecisionKind::kEndRequest:
      return false;
    default:
      return true;
  }
}

// Appends text with the escapes of a JSON string. Each byte outside ASCII
// becomes U+FFFD, because text from peers may not be valid UTF-8.
void AppendEscaped(Line& line, std::string_view text) {
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line.push_back('\\');
      line.push_back(c);
    } else if (byte >= 0x80) {
      fmt::format_to(std::back_inserter(line), "\\ufffd");
    } else if (byte < 0x20 || byte == 0x7f) {
      fmt::format_to(std::back_inserter(line), "\\u{:04x}", byte);
    } else {
      line.push_back(c);
    }
  }
}

void AppendText(Line& line, std::string_view key, std::string_view text) {
  if (text.empty()) {
    return;
  }
  fmt::format_to(std::back_inserter(line), ",\"{}\":\"", key);
  AppendEscaped(line, text);
  line.push_back('"');
}

void AppendNumber(Line& line, std::string_view key, uint64_t number) {
  if (number != 0) {
    fmt::format_to(std::back_inserter(line), ",\"{}\":{}", key, number);
  }
}

void AppendHex(Line& line, std::string_view key, uint64_t number) {
  if (number != 0) {
    fmt::format_to(std::back_inserter(line), ",\"{}\":\"{:016x}\"", key,
                   number);
  }
}

class FunctionSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit FunctionSink(std::function<void(std::string_view)> function)
      : function_(std::move(function)) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    function_({formatted.data(), formatted.size()});
  }
  void flush_() override {}

 private:
  std::function<void(std::string_view)> function_;
};

}  // namespace

struct DecisionLog::Impl {
  explicit Impl(DecisionLogOptions log_options)
      : options(std::move(log_options)) {
    fmt::format_to(std::back_inserter(line_prefix), "\"vm\":\"");
    AppendEscaped(line_prefix, options.vm);
    fmt::format_to(std::back_inserter(line_prefix), "\",\"kind\":\"");
  }

  spdlog::sink_ptr MakeSink() {
    if (options.sink) {
      return std::make_shared<FunctionSink>(options.sink);
    }
    if (options.path.empty() && options.standard_output) {
      return std::make_shared<spdlog::sinks::stdout_sink_mt>();
    }
    if (options.path.empty()) {
      return std::make_shared<spdlog::sinks::stderr_sink_mt>();
    }
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(
        options.path.string());
  }

  void BeginLine(Line& line, std::string_view kind) {
    line.append(line_prefix);
    AppendEscaped(line, kind);
    line.push_back('"');
  }

  void Submit(LogLevel level, const Line& line) {
    logger->log(ToSpdlog(level),
                spdlog::string_view_t(line.data(), line.size()));
  }

  bool IsEnabled(LogLevel level) const {
    return logger != nullptr && level >= options.level;
  }

  DecisionLogOptions options;
  Line line_prefix;  // up to the value of "kind"
  std::atomic<uint64_t> failed_writes{0};
  std::atomic<uint64_t> reported_drops{0};
  // Declared before the logger, which it must outlive.
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
};

DecisionLog::DecisionLog(DecisionLogOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

DecisionLog::~DecisionLog() {
  ReportDropsAndFlush();
}

std::string DecisionLog::Open() {
  try {
    auto pool = std::make_shared<spdlog::details::thread_pool>(
        impl_->options.queue_lines, 1);
    auto logger = std::make_shared<spdlog::async_logger>(
        "marjoramhall", impl_->MakeSink(), pool,
        spdlog::async_overflow_policy::overrun_oldest);
    logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v})",
        spdlog::pattern_time_type::utc, "\n"));
    logger->set_level(ToSpdlog(impl_->options.level));
    logger->set_error_handler(
        [impl = impl_.get()](const std::string&) { ++impl->failed_writes; });
    impl_->pool = std::move(pool);
    impl_->logger = std::move(logger);
  } catch (const spdlog::spdlog_ex& e) {
    return "cannot open log file " + impl_->options.path.string() + ": " +
           e.what();
  }
  return "";
}

void DecisionLog::Write(const Decision& decision) {
  const LogLevel level = LevelOf(decision.kind);
  const DecisionLogging selection = impl_->options.decisions;
  if (!impl_->IsEnabled(level) || selection == DecisionLogging::kNone ||
      (selection == DecisionLogging::kRare && !IsRareKind(decision.kind))) {
    return;
  }
  Line line;
  impl_->BeginLine(line, NameOf(decision.kind));
  AppendNumber(line, "service", ToInteger(decision.service));
  AppendNumber(line, "target", ToInteger(decision.target));
  AppendHex(line, "peer", ToInteger(decision.vm));
  AppendHex(line, "subject", decision.subject);
  AppendNumber(line, "revision", decision.revision);
  AppendNumber(line, "store_epoch", decision.store_epoch);
  AppendText(line, "outcome", decision.outcome);
  AppendText(line, "reason", decision.reason);
  AppendText(line, "detail", decision.detail);
  impl_->Submit(level, line);
}

void DecisionLog::WriteMessage(LogLevel level, std::string_view text) {
  if (!impl_->IsEnabled(level)) {
    return;
  }
  Line line;
  impl_->BeginLine(line, "message");
  AppendText(line, "detail", text);
  impl_->Submit(level, line);
}

void DecisionLog::ReportDropsAndFlush() {
  if (impl_->logger == nullptr) {
    return;
  }
  const uint64_t dropped = DroppedLines();
  const uint64_t reported = impl_->reported_drops.exchange(dropped);
  if (dropped > reported) {
    Line line;
    impl_->BeginLine(line, "log-dropped");
    AppendNumber(line, "count", dropped - reported);
    AppendNumber(line, "total", dropped);
    impl_->Submit(LogLevel::kWarning, line);
  }
  impl_->logger->flush();
}

uint64_t DecisionLog::DroppedLines() const {
  return impl_->pool == nullptr ? 0 : impl_->pool->overrun_counter();
}

uint64_t DecisionLog::FailedWrites() const {
  return impl_->failed_writes;
}

DecisionHook DecisionLog::Hook() {
  return [this](const Decision& decision) { Write(decision); };
}

}  // namespace marjoramhall::observe

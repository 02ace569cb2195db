// The log on spdlog's thread pool. The pool's queue overruns its oldest entry
// when it is full and counts that.
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

bool IsRare(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kRouteFlow:
    case DecisionKind::kRouteRequest:
    case DecisionKind::kEndRequest:
      return false;
    default:
      return true;
  }
}

// Appends text as the inside of a JSON string. Bytes outside ASCII become
// U+FFFD each, since text of peers may not be UTF-8.
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

// Passes formatted lines to a function.
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
  explicit Impl(DecisionLogOptions given) : options(std::move(given)) {
    fmt::format_to(std::back_inserter(prefix), "\"vm\":\"");
    AppendEscaped(prefix, options.vm);
    fmt::format_to(std::back_inserter(prefix), "\",\"kind\":\"");
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

  void Start(Line& line, std::string_view kind) {
    line.append(prefix);
    AppendEscaped(line, kind);
    line.push_back('"');
  }

  void Submit(LogLevel level, const Line& line) {
    logger->log(ToSpdlog(level),
                spdlog::string_view_t(line.data(), line.size()));
  }

  bool Chosen(LogLevel level) const {
    return logger != nullptr && level >= options.level;
  }

  DecisionLogOptions options;
  Line prefix;
  std::atomic<uint64_t> failed{0};
  std::atomic<uint64_t> reported{0};
  // The pool is declared first, so that it outlives the logger.
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
};

DecisionLog::DecisionLog(DecisionLogOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

DecisionLog::~DecisionLog() {
  Maintain();
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
        [impl = impl_.get()](const std::string&) { ++impl->failed; });
    impl_->pool = std::move(pool);
    impl_->logger = std::move(logger);
  } catch (const spdlog::spdlog_ex& e) {
    return "cannot open log " + impl_->options.path.string() + ": " + e.what();
  }
  return "";
}

void DecisionLog::Write(const Decision& decision) {
  const LogLevel level = LevelOf(decision.kind);
  const DecisionLogging chosen = impl_->options.decisions;
  if (!impl_->Chosen(level) || chosen == DecisionLogging::kNone ||
      (chosen == DecisionLogging::kRare && !IsRare(decision.kind))) {
    return;
  }
  Line line;
  impl_->Start(line, NameOf(decision.kind));
  AppendNumber(line, "service", ToInteger(decision.service));
  AppendNumber(line, "target", ToInteger(decision.target));
  AppendHex(line, "peer", ToInteger(decision.vm));
  AppendHex(line, "subject", decision.subject);
  AppendNumber(line, "revision", decision.revision);
  AppendText(line, "outcome", decision.outcome);
  AppendText(line, "reason", decision.reason);
  AppendText(line, "detail", decision.detail);
  impl_->Submit(level, line);
}

void DecisionLog::Message(LogLevel level, std::string_view text) {
  if (!impl_->Chosen(level)) {
    return;
  }
  Line line;
  impl_->Start(line, "message");
  AppendText(line, "detail", text);
  impl_->Submit(level, line);
}

void DecisionLog::Maintain() {
  if (impl_->logger == nullptr) {
    return;
  }
  const uint64_t dropped = Dropped();
  const uint64_t before = impl_->reported.exchange(dropped);
  if (dropped > before) {
    Line line;
    impl_->Start(line, "log-dropped");
    AppendNumber(line, "count", dropped - before);
    AppendNumber(line, "total", dropped);
    impl_->Submit(LogLevel::kWarning, line);
  }
  impl_->logger->flush();
}

uint64_t DecisionLog::Dropped() const {
  return impl_->pool == nullptr ? 0 : impl_->pool->overrun_counter();
}

uint64_t DecisionLog::Failed() const {
  return impl_->failed;
}

DecisionHook DecisionLog::Hook() {
  return [this](const Decision& decision) { Write(decision); };
}

}  // namespace marjoramhall::observe

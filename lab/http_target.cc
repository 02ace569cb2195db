// Slots, queue, service times and answers.
#include "lab/http_target.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "lab/http_body.h"

namespace marjoramhall::lab {
namespace {

using net::FieldOf;
using net::HeaderFields;
using net::Http2SessionPtr;

// Upper bound of the answer bytes buffered in a stream.
constexpr size_t kAnswerChunkBytes = size_t{64} * 1024;
// Upper bound of the service time of one request.
constexpr Duration kMaxServiceTime = std::chrono::seconds(60);
constexpr uint64_t kMaxAnswerBytes = uint64_t{1} << 30;
constexpr size_t kMaxSamples = 4096;

uint64_t ParseNumberField(const HeaderFields& fields,
                          std::string_view name,
                          uint64_t fallback) {
  const std::string_view text = FieldOf(fields, name);
  uint64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return ec == std::errc{} && end == text.data() + text.size() ? value
                                                               : fallback;
}

}  // namespace

uint32_t ExecutionCounts::Count(const std::string& key,
                                const std::string& id,
                                bool is_write) {
  if (by_key.size() + by_id.size() + reads_by_id.size() >= kMaxEntries) {
    overflowed = true;
    return 1;
  }
  const uint32_t runs = ++(is_write ? by_id : reads_by_id)[id];
  return key.empty() ? runs : ++by_key[key];
}

struct StandInTarget::Job {
  explicit Job(asio::io_context& io) : timer(io) {}
  asio::steady_timer timer;
  Http2SessionPtr session;
  int32_t stream = 0;
  std::string id;
  std::string key;
  bool is_write = false;
  Duration median_service_time{0};
  uint64_t answer_bytes = 0;
  uint64_t answer_written = 0;
  uint32_t execution_number = 0;
  bool body_complete = false;
  bool has_slot = false;
  bool executing = false;
  bool closed = false;
};

StandInTarget::StandInTarget(asio::io_context& io,
                             StandInOptions options,
                             std::shared_ptr<ExecutionCounts> execution_counts,
                             ControlHook control)
    : io_(io),
      options_(std::move(options)),
      execution_counts_(std::move(execution_counts)),
      control_(std::move(control)),
      random_(options_.seed),
      started_(SteadyNow()) {}

StandInTarget::~StandInTarget() {
  Kill();
}

std::string StandInTarget::Open() {
  started_ = SteadyNow();
  listener_ = std::make_unique<net::Http2Listener>(
      io_, net::Http2Limits{}, 10000, counters_, [this] {
        net::SessionHooks hooks;
        hooks.on_request = [this](const Http2SessionPtr& session,
                                  int32_t stream,
                                  const net::MessageHead& head) {
          return OnRequest(session, stream, head);
        };
        return hooks;
      });
  std::string error = listener_->Open(options_.listen);
  if (error.empty()) {
    options_.listen = listener_->local_endpoint();
  }
  return error;
}

size_t StandInTarget::sessions() const {
  return listener_ ? listener_->sessions() : 0;
}

void StandInTarget::Kill() {
  listener_.reset();
  // The streams close later, in the io_context. Their hooks ignore closed jobs.
  for (const JobPtr& it : live_) {
    it->closed = true;
    it->timer.cancel();
    counts_.cancelled++;
  }
  live_.clear();
  waiting_.clear();
  counts_.running = 0;
  counts_.waiting = 0;
}

void StandInTarget::Shutdown() {
  if (listener_) {
    listener_->Shutdown();
  }
}

net::StreamHooks StandInTarget::OnRequest(const Http2SessionPtr& session,
                                          int32_t stream,
                                          const net::MessageHead& head) {
  const std::string_view path = FieldOf(head.fields, ":path");
  if (path.starts_with("/lab/")) {
    return control_ ? control_(session, stream, head) : net::StreamHooks{};
  }
  if (path == "/health" || path == "/load") {
    ServeHealthOrLoad(session, stream, path);
    return {};
  }
  counts_.received++;
  if (refusing_) {
    counts_.refused++;
    session->Reset(stream, net::kHttp2RefusedStream);
    return {};
  }
  const bool full = counts_.running >= options_.slots &&
                    counts_.waiting >= options_.queue_limit;
  if (draining_ || full) {
    counts_.shed++;
    session->Respond(
        stream,
        {{":status", "503"}, {"x-not-run", "1"}, {"x-target", options_.name}},
        true);
    return {};
  }
  auto job = std::make_shared<Job>(io_);
  job->session = session;
  job->stream = stream;
  job->id = FieldOf(head.fields, "x-request-id");
  job->key = FieldOf(head.fields, "idempotency-key");
  job->is_write = FieldOf(head.fields, ":method") != "GET";
  job->median_service_time = Duration(ParseNumberField(
      head.fields, "x-lab-work-us", options_.median_service_time.count()));
  job->answer_bytes = std::min(
      ParseNumberField(head.fields, "x-lab-bytes", options_.answer_bytes),
      kMaxAnswerBytes);
  live_.insert(job);
  if (counts_.running < options_.slots) {
    TakeSlot(job);
  } else {
    waiting_.push_back(job);
    counts_.waiting++;
  }
  AddSample();
  net::StreamHooks hooks;
  hooks.on_body = [job](std::string_view data) {
    job->session->Consume(job->stream, data.size());
  };
  hooks.on_end = [this, job](const HeaderFields&) {
    job->body_complete = true;
    if (!job->closed) {
      Execute(job);
    }
  };
  hooks.on_sent = [this, job](size_t) {
    if (!job->closed) {
      WriteMore(job);
    }
  };
  hooks.on_close = [this, job](net::StreamEnd end, uint32_t) {
    if (!job->closed) {
      OnJobClose(job, end);
    }
  };
  return hooks;
}

void StandInTarget::ServeHealthOrLoad(const Http2SessionPtr& session,
                                      int32_t stream,
                                      std::string_view path) {
  const LoadSample sample = DelayedSample();
  bool ok = !sample.draining;
  if (health_ != HealthMode::kTruthful) {
    ok = health_ == HealthMode::kAlwaysOk;
  }
  if (path == "/health") {
    session->Respond(stream, {{":status", ok ? "200" : "503"}}, true);
    return;
  }
  const bool idle = health_ == HealthMode::kAlwaysOk;
  session->Respond(stream,
                   {{":status", "200"}, {"content-type", "application/json"}},
                   false);
  session->Write(
      stream, "{\"running\":" + std::to_string(idle ? 0 : sample.running) +
                  ",\"waiting\":" + std::to_string(idle ? 0 : sample.waiting) +
                  ",\"slots\":" + std::to_string(options_.slots) + "}");
  session->Finish(stream);
}

void StandInTarget::TakeSlot(const JobPtr& job) {
  job->has_slot = true;
  counts_.running++;
  counts_.peak_running = std::max(counts_.peak_running, counts_.running);
  Execute(job);
}

// Starts the work once the request holds a slot and its body is complete.
void StandInTarget::Execute(const JobPtr& job) {
  if (!job->has_slot || !job->body_complete || job->executing) {
    return;
  }
  job->executing = true;
  counts_.executed++;
  job->execution_number =
      execution_counts_->Count(job->key, job->id, job->is_write);
  job->timer.expires_after(ServiceTime(job->median_service_time));
  job->timer.async_wait([this, job](std::error_code ec) {
    if (!ec && !job->closed) {
      Answer(job);
    }
  });
}

void StandInTarget::Answer(const JobPtr& job) {
  HeaderFields head = {
      {":status", "200"},
      {"x-request-id", job->id},
      {"x-target", options_.name},
      {"x-service", options_.service},
      {"x-execution", std::to_string(job->execution_number)},
      {"content-length", std::to_string(job->answer_bytes)},
  };
  job->session->Respond(job->stream, head, job->answer_bytes == 0);
  if (job->answer_bytes > 0) {
    WriteMore(job);
  }
}

void StandInTarget::WriteMore(const JobPtr& job) {
  if (job->answer_written >= job->answer_bytes ||
      job->session->PendingBytes(job->stream) > kAnswerChunkBytes / 2) {
    return;
  }
  const size_t n = std::min<uint64_t>(kAnswerChunkBytes,
                                      job->answer_bytes - job->answer_written);
  const std::string bytes = PatternBody(job->id).Bytes(job->answer_written, n);
  job->answer_written += n;
  job->session->Write(job->stream, bytes);
  if (job->answer_written == job->answer_bytes) {
    job->session->Finish(job->stream);
  }
}

void StandInTarget::OnJobClose(const JobPtr& job, net::StreamEnd end) {
  job->closed = true;
  job->timer.cancel();
  if (end == net::StreamEnd::kComplete) {
    counts_.answered++;
  } else {
    counts_.cancelled++;
  }
  live_.erase(job);
  Release(job);
  AddSample();
}

void StandInTarget::Release(const JobPtr& job) {
  if (!job->has_slot) {
    counts_.waiting -= std::erase(waiting_, job);
    return;
  }
  job->has_slot = false;
  counts_.running--;
  if (!waiting_.empty()) {
    const JobPtr next = waiting_.front();
    waiting_.pop_front();
    counts_.waiting--;
    TakeSlot(next);
  }
}

Duration StandInTarget::ServiceTime(Duration median_service_time) {
  std::normal_distribution<double> normal;
  std::uniform_real_distribution<double> uniform;
  double factor =
      std::exp(options_.sigma * normal(random_)) * service_time_factor_;
  if (uniform(random_) < options_.straggler_share) {
    factor *= options_.straggler_factor;
  }
  const Duration age = SteadyNow() - started_;
  if (age < options_.cold_duration) {
    const double left =
        1 - static_cast<double>(age.count()) /
                static_cast<double>(options_.cold_duration.count());
    factor *= 1 + (options_.cold_factor - 1) * left;
  }
  const double us = static_cast<double>(median_service_time.count()) * factor;
  return Duration(static_cast<int64_t>(
      std::min(us, static_cast<double>(kMaxServiceTime.count()))));
}

void StandInTarget::AddSample() {
  if (options_.report_delay == Duration::zero()) {
    return;
  }
  samples_.push_back(
      {SteadyNow(), counts_.running, counts_.waiting, draining_});
  const TimePoint oldest = SteadyNow() - options_.report_delay;
  while (samples_.size() > kMaxSamples ||
         (samples_.size() > 1 && samples_[1].at <= oldest)) {
    samples_.pop_front();
  }
}

StandInTarget::LoadSample StandInTarget::DelayedSample() const {
  const TimePoint at = SteadyNow() - options_.report_delay;
  if (options_.report_delay == Duration::zero()) {
    return {at, counts_.running, counts_.waiting, draining_};
  }
  LoadSample out;
  for (const LoadSample& it : samples_) {
    if (it.at <= at) {
      out = it;
    }
  }
  return out;
}

}  // namespace marjoramhall::lab

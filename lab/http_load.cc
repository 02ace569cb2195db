// Arrivals, submissions and the classification of their ends.
#include "lab/http_load.h"

#include <algorithm>
#include <charconv>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "lab/http_body.h"
#include "src/base/verdict.h"

namespace marjoramhall::lab {
namespace {

using net::FieldOf;
using net::HeaderFields;

constexpr Duration kTickInterval = std::chrono::milliseconds(1);
constexpr size_t kBodyChunkBytes = size_t{64} * 1024;
// Delay before a resubmission for which no "retry-after" was sent.
constexpr Duration kResubmitDelay = std::chrono::milliseconds(20);
// Requests start after this time even if some connections are still missing.
constexpr Duration kMaxConnectWait = std::chrono::seconds(1);

}  // namespace

struct LoadGenerator::Timer {
  explicit Timer(asio::io_context& io) : it(io) {}
  asio::steady_timer it;
};

struct LoadGenerator::Request {
  explicit Request(asio::io_context& io) : timer(io) {}
  asio::steady_timer timer;
  size_t kind = 0;
  uint64_t number = 0;
  size_t vm = 0;
  uint32_t submissions = 0;
  // Ids of all submissions. A stored answer may carry the id of an earlier one.
  std::vector<std::string> ids;
};

struct LoadGenerator::Submission {
  RequestPtr request;
  std::string id;
  net::Http2SessionPtr session;
  int32_t stream = 0;
  TimePoint sent;
  net::MessageHead head;
  uint64_t body_sent = 0;
  uint64_t received = 0;
  bool wrong_body = false;
  bool ended = false;
  bool timed_out = false;
};

LoadGenerator::LoadGenerator(asio::io_context& io, LoadOptions options)
    : io_(io),
      options_(std::move(options)),
      connections_(io, options_.vms, options_.connections_per_vm),
      random_(options_.seed),
      timer_(std::make_unique<Timer>(io)) {
  for (const LoadKind& it : options_.kinds) {
    report_.kinds.emplace_back();
    report_.kinds.back().name = it.name;
  }
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Start(std::function<void()> done) {
  done_ = std::move(done);
  started_ = SteadyNow();
  last_tick_ = started_;
  Tick();
}

double LoadGenerator::RateAt(Duration since_start) const {
  double factor = 1;
  for (const auto& [start, value] : options_.rate_profile) {
    if (since_start >= start) {
      factor = value;
    }
  }
  return options_.requests_per_second * factor;
}

void LoadGenerator::Tick() {
  const TimePoint now = SteadyNow();
  if (!sending_ &&
      (connections_.IsComplete() || now - started_ > kMaxConnectWait)) {
    sending_ = true;
    started_ = now;
    last_tick_ = now;
  }
  const Duration since = now - started_;
  const bool over = sending_ && since >= options_.run_time;
  if (sending_ && !over) {
    const double seconds =
        static_cast<double>((now - last_tick_).count()) / 1e6;
    std::poisson_distribution<int> arrivals(RateAt(since) * seconds);
    for (int n = arrivals(random_); n > 0; --n) {
      StartRequest();
    }
  }
  last_tick_ = now;
  if (over && open_requests_ == 0) {
    report_.run_time = options_.run_time;
    connections_.Close();
    done_();
    return;
  }
  timer_->it.expires_after(kTickInterval);
  timer_->it.async_wait([this](std::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

void LoadGenerator::StartRequest() {
  std::vector<double> shares;
  for (const LoadKind& it : options_.kinds) {
    shares.push_back(it.share);
  }
  auto request = std::make_shared<Request>(io_);
  request->kind =
      std::discrete_distribution<size_t>(shares.begin(), shares.end())(random_);
  request->number = ++last_request_number_;
  request->vm = random_() % connections_.vms();
  open_requests_++;
  ReportOf(*request).requests++;
  Submit(request);
}

HeaderFields LoadGenerator::MakeHead(const Request& request,
                                     const std::string& id) const {
  const LoadKind& kind = options_.kinds[request.kind];
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(kind.timeout);
  HeaderFields out = {
      {":method", kind.method},
      {":scheme", "http"},
      {":authority", kind.host},
      {":path", kind.path},
      {"x-request-id", id},
      {"x-caller-id", options_.caller},
      {"x-lab-bytes", std::to_string(kind.answer_bytes)},
      {"request-timeout-ms", std::to_string(ms.count())},
  };
  if (kind.keyed) {
    out.emplace_back("idempotency-key",
                     options_.caller + "-" + std::to_string(options_.seed) +
                         "-" + std::to_string(request.number));
    out.emplace_back("idempotency-attempt",
                     std::to_string(request.submissions));
  }
  if (kind.service_time > Duration::zero()) {
    out.emplace_back("x-lab-work-us",
                     std::to_string(kind.service_time.count()));
  }
  if (kind.body_bytes > 0) {
    out.emplace_back("content-length", std::to_string(kind.body_bytes));
  }
  return out;
}

void LoadGenerator::Submit(const RequestPtr& request) {
  const LoadKind& kind = options_.kinds[request->kind];
  request->submissions++;
  ReportOf(*request).submissions++;
  auto submission = std::make_shared<Submission>();
  submission->request = request;
  submission->id = options_.caller + "-" + std::to_string(options_.seed) + "." +
                   std::to_string(request->number) + "." +
                   std::to_string(request->submissions);
  submission->sent = SteadyNow();
  request->ids.push_back(submission->id);
  submission->session = connections_.Choose(request->vm);
  if (submission->session) {
    submission->stream =
        submission->session->Open(MakeHead(*request, submission->id),
                                  kind.body_bytes == 0, MakeHooks(submission));
  }
  if (submission->stream == 0) {
    ReportOf(*request).end_counts["not-sent"]++;
    Retry(request, kResubmitDelay, false);
    return;
  }
  SendBody(submission);
  request->timer.expires_after(kind.timeout + options_.timeout_margin);
  request->timer.async_wait([submission](std::error_code ec) {
    if (!ec) {
      submission->timed_out = true;
      submission->session->Reset(submission->stream, net::kHttp2Cancel);
    }
  });
}

net::StreamHooks LoadGenerator::MakeHooks(const SubmissionPtr& submission) {
  net::StreamHooks hooks;
  hooks.on_head = [submission](net::MessageHead head) {
    submission->head = std::move(head);
  };
  hooks.on_body = [submission](std::string_view data) {
    const PatternBody expected(
        FieldOf(submission->head.fields, "x-request-id"));
    submission->wrong_body |= !expected.Matches(submission->received, data);
    submission->received += data.size();
    submission->session->Consume(submission->stream, data.size());
  };
  hooks.on_end = [submission](const HeaderFields&) {
    submission->ended = true;
  };
  hooks.on_sent = [this, submission](size_t) { SendBody(submission); };
  hooks.on_close = [this, submission](net::StreamEnd end, uint32_t) {
    OnClose(submission, end);
  };
  return hooks;
}

void LoadGenerator::SendBody(const SubmissionPtr& submission) {
  const uint64_t size = options_.kinds[submission->request->kind].body_bytes;
  while (submission->body_sent < size &&
         submission->session->PendingBytes(submission->stream) <
             kBodyChunkBytes) {
    const size_t n =
        std::min<uint64_t>(kBodyChunkBytes, size - submission->body_sent);
    submission->body_sent += n;
    submission->session->Write(submission->stream, std::string(n, 'b'));
    if (submission->body_sent == size) {
      submission->session->Finish(submission->stream);
    }
  }
}

void LoadGenerator::OnClose(const SubmissionPtr& submission,
                            net::StreamEnd end) {
  const RequestPtr& request = submission->request;
  request->timer.cancel();
  KindReport& report = ReportOf(*request);
  const HeaderFields& head = submission->head.fields;
  const std::string verdict(FieldOf(head, "x-verdict"));
  const std::string status(FieldOf(head, ":status"));
  if (submission->ended && (verdict == NameOf(Verdict::kNotRun) ||
                            verdict == NameOf(Verdict::kMayHaveRun))) {
    OnRefusal(submission, verdict);
    return;
  }
  if (submission->ended && status == "200") {
    OnAnswer(submission);
    return;
  }
  if (submission->ended) {
    report.end_counts["status " + status]++;
    Retry(request, kResubmitDelay, true);
    return;
  }
  if (submission->timed_out) {
    report.end_counts["timeout"]++;
  } else if (end == net::StreamEnd::kNotSent) {
    report.end_counts["not-sent"]++;
  } else if (end == net::StreamEnd::kRefused) {
    report.end_counts["refused-stream not-run"]++;
    if (not_run_ids_.size() < kMaxNotRunIds) {
      not_run_ids_.push_back(submission->id);
    }
  } else {
    report.end_counts[status.empty() ? "connection-loss" : "answer-cut"]++;
  }
  Retry(request, kResubmitDelay, false);
}

void LoadGenerator::OnAnswer(const SubmissionPtr& submission) {
  const RequestPtr& request = submission->request;
  const LoadKind& kind = options_.kinds[request->kind];
  const HeaderFields& head = submission->head.fields;
  KindReport& report = ReportOf(*request);
  const std::string_view id = FieldOf(head, "x-request-id");
  const bool own = std::find(request->ids.begin(), request->ids.end(), id) !=
                   request->ids.end();
  if (!kind.service.empty() && FieldOf(head, "x-service") != kind.service) {
    report.misrouted++;
  } else if (!own || submission->wrong_body) {
    report.crossed++;
  } else if (submission->received != kind.answer_bytes) {
    report.truncated++;
  }
  const Duration took = SteadyNow() - submission->sent;
  report.answered++;
  report.late += took > kind.timeout ? 1 : 0;
  report.answer_us.push_back(static_cast<uint32_t>(took.count()));
  EndRequest();
}

void LoadGenerator::OnRefusal(const SubmissionPtr& submission,
                              const std::string& verdict) {
  const RequestPtr& request = submission->request;
  const HeaderFields& head = submission->head.fields;
  KindReport& report = ReportOf(*request);
  const std::string reason(FieldOf(head, "x-refusal-reason"));
  report.end_counts[reason + " " + verdict]++;
  report.refusal_us.push_back(
      static_cast<uint32_t>((SteadyNow() - submission->sent).count()));
  if (verdict == NameOf(Verdict::kNotRun) &&
      not_run_ids_.size() < kMaxNotRunIds) {
    not_run_ids_.push_back(submission->id);
  }
  int seconds = 0;
  const std::string_view text = FieldOf(head, "retry-after");
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  const Duration requested = std::chrono::seconds(std::clamp(seconds, 0, 3600));
  Retry(request,
        std::max(kResubmitDelay, std::min(requested, options_.max_retry_wait)),
        true);
}

void LoadGenerator::Retry(const RequestPtr& request,
                          Duration wait,
                          bool refused) {
  if (request->submissions > options_.max_resubmits) {
    (refused ? ReportOf(*request).refused : ReportOf(*request).lost)++;
    EndRequest();
    return;
  }
  request->vm = (request->vm + 1) % connections_.vms();
  request->timer.expires_after(wait);
  request->timer.async_wait([this, request](std::error_code ec) {
    if (!ec) {
      Submit(request);
    }
  });
}

void LoadGenerator::EndRequest() {
  open_requests_--;
}

KindReport& LoadGenerator::ReportOf(const Request& request) {
  return report_.kinds[request.kind];
}

}  // namespace marjoramhall::lab

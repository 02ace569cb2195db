// Open-loop load generator: sends requests to VMs at a given rate, resubmits
// failed ones to another VM and checks every answer.
#ifndef MARJORAMHALL_LAB_HTTP_LOAD_H_
#define MARJORAMHALL_LAB_HTTP_LOAD_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "lab/http_load_connections.h"
#include "lab/http_load_report.h"
#include "src/base/endpoint.h"
#include "src/base/time.h"
#include "src/net/http2_session.h"

namespace asio {
class io_context;
}

namespace marjoramhall::lab {

struct LoadKind {
  std::string name = "kind";
  std::string host;
  // Expected "x-service" of an answer; not checked if empty.
  std::string service;
  std::string method = "GET";
  std::string path = "/";
  // Weight of this kind among all kinds.
  double share = 1;
  // Requests carry an idempotency key.
  bool keyed = false;
  size_t body_bytes = 0;
  uint64_t answer_bytes = 256;
  // Median service time, sent as "x-lab-work-us" if not zero.
  Duration service_time{0};
  Duration timeout = std::chrono::seconds(2);
};

struct LoadOptions {
  std::vector<Endpoint> vms;
  std::vector<LoadKind> kinds;
  // Requests per second.
  double requests_per_second = 100;
  Duration run_time = std::chrono::seconds(5);
  // Pairs of a start time and the factor on the rate from then on, in order of
  // the start times. The factor is 1 before the first one.
  std::vector<std::pair<Duration, double>> rate_profile;
  // Per VM.
  size_t connections_per_vm = 4;
  // Per request.
  uint32_t max_resubmits = 2;
  // Upper bound of the "retry-after" that is honored.
  Duration max_retry_wait = std::chrono::seconds(1);
  // A submission that has not ended this long after its deadline is reset and
  // counted as a timeout.
  Duration timeout_margin = std::chrono::milliseconds(500);
  std::string caller = "lab";
  uint64_t seed = 1;
};

// A single load run. Single-threaded; all work happens in the io_context.
class LoadGenerator {
 public:
  LoadGenerator(asio::io_context& io, LoadOptions options);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // Calls `done` once, when every request has ended.
  void Start(std::function<void()> done);
  LoadReport& report() { return report_; }
  // Ids of the submissions that a VM reported as not run; at most
  // kMaxNotRunIds.
  const std::vector<std::string>& not_run_ids() const { return not_run_ids_; }

 private:
  static constexpr size_t kMaxNotRunIds = 200'000;

  struct Request;
  struct Submission;
  using RequestPtr = std::shared_ptr<Request>;
  using SubmissionPtr = std::shared_ptr<Submission>;

  void Tick();
  double RateAt(Duration since_start) const;
  void StartRequest();
  void Submit(const RequestPtr& request);
  net::HeaderFields MakeHead(const Request& request,
                             const std::string& id) const;
  net::StreamHooks MakeHooks(const SubmissionPtr& submission);
  void SendBody(const SubmissionPtr& submission);
  void OnClose(const SubmissionPtr& submission, net::StreamEnd end);
  void OnAnswer(const SubmissionPtr& submission);
  void OnRefusal(const SubmissionPtr& submission, const std::string& verdict);
  // Resubmits a request after `wait`, or ends it as refused or lost when it has
  // no resubmission left.
  void Retry(const RequestPtr& request, Duration wait, bool refused);
  void EndRequest();
  KindReport& ReportOf(const Request& request);

  asio::io_context& io_;
  const LoadOptions options_;
  LoadConnections connections_;
  std::mt19937_64 random_;
  LoadReport report_;
  std::vector<std::string> not_run_ids_;
  std::function<void()> done_;
  struct Timer;
  std::unique_ptr<Timer> timer_;
  TimePoint started_;
  TimePoint last_tick_;
  uint64_t open_requests_ = 0;
  uint64_t last_request_number_ = 0;
  bool sending_ = false;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_LOAD_H_

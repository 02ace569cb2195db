// Callers: an open-loop stream of requests to VMs, with resubmission at another
// VM, that checks every answer.
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
  // Value of "x-service" that a right answer has; empty: not checked.
  std::string service;
  std::string method = "GET";
  std::string path = "/";
  double share = 1;
  // Requests carry an idempotency key.
  bool keyed = false;
  size_t body_bytes = 0;
  uint64_t answer_bytes = 256;
  // Sent as "x-lab-work-us" when not zero.
  Duration work{0};
  Duration timeout = std::chrono::seconds(2);
};

struct LoadOptions {
  std::vector<Endpoint> vms;
  std::vector<LoadKind> kinds;
  double rate = 100;
  Duration run_time = std::chrono::seconds(5);
  // (start, factor on the rate), by rising start. Before the first: 1.
  std::vector<std::pair<Duration, double>> profile;
  size_t connections = 4;
  uint32_t resubmits = 2;
  Duration max_retry_wait = std::chrono::seconds(1);
  // A submission without an end this long after its deadline is a timeout.
  Duration patience = std::chrono::milliseconds(500);
  std::string caller = "lab";
  uint64_t seed = 1;
};

// One run. Single-threaded.
class LoadGenerator {
 public:
  LoadGenerator(asio::io_context& io, LoadOptions options);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  // `done` is called once, when every request has ended.
  void Start(std::function<void()> done);
  LoadReport& report() { return report_; }
  // Ids of submissions that a VM said were not run, at most kMaxNotRun.
  const std::vector<std::string>& not_run_ids() const { return not_run_ids_; }

 private:
  static constexpr size_t kMaxNotRun = 200'000;

  struct Request;
  struct Submission;
  using RequestPtr = std::shared_ptr<Request>;
  using SubmissionPtr = std::shared_ptr<Submission>;

  void Tick();
  double RateAt(Duration since_start) const;
  void Arrive();
  void Submit(const RequestPtr& request);
  net::HeaderFields Head(const Request& request, const std::string& id) const;
  net::StreamHooks Hooks(const SubmissionPtr& submission);
  void SendBody(const SubmissionPtr& submission);
  void OnClose(const SubmissionPtr& submission, net::StreamEnd end);
  void OnAnswer(const SubmissionPtr& submission);
  void OnRefusal(const SubmissionPtr& submission, const std::string& verdict);
  // Ends a submission that got no answer: resubmits, or ends the request.
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
  double owed_ = 0;
  uint64_t open_ = 0;
  uint64_t last_id_ = 0;
  bool arriving_ = false;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_LOAD_H_

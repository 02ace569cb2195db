// Connects the planes of a VM and runs their threads.
//
// The calling thread runs the control plane and the operator API. The flow
// plane and the request plane have a thread each. The planes exchange only
// immutable views and messages, which are posted to the io_context of the other
// thread.
#include "src/app/vm_process.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <random>
#include <thread>
#include <utility>

#include "src/app/bootstrap.h"
#include "src/app/vm_metrics.h"
#include "src/config/deployment_json.h"
#include "src/control/plan_service.h"
#include "src/net/control_node.h"
#include "src/net/flow_path.h"
#include "src/net/http_store_client.h"
#include "src/net/key_range_store.h"
#include "src/net/local_store.h"
#include "src/net/operator_server.h"
#include "src/net/request_proxy.h"
#include "src/observe/decision_log.h"
#include "src/observe/metrics.h"

namespace marjoramhall::app {
namespace {

constexpr auto kLogInterval = std::chrono::seconds(1);
// A leaving VM forwards packets until it has received none from the fabric for
// this long, because the fabric learns with a delay which VMs have left.
constexpr auto kFabricQuietTime = std::chrono::milliseconds(1000);
// Leaves time to get the deployment from peers first.
constexpr Duration kBootstrapDelay = std::chrono::seconds(3);
constexpr Duration kBootstrapInterval = std::chrono::seconds(1);

Incarnation MakeIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

int64_t UnixTime() {
  return std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
}

uint64_t RandomSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

// Parses a URL such as "http://127.0.0.1:7000".
std::optional<Endpoint> ParseStoreUrl(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) {
    return std::nullopt;
  }
  url.remove_prefix(kScheme.size());
  if (url.ends_with('/')) {
    url.remove_suffix(1);
  }
  return Endpoint::Parse(url);
}

observe::DecisionLogOptions LogOptions(const settings::Settings& settings) {
  observe::DecisionLogOptions options;
  options.vm = settings.vm.name;
  options.path = settings.log.path;
  options.level = settings.log.level;
  options.decisions = settings.log.decisions;
  return options;
}

net::FlowPathOptions FlowOptions(const settings::Settings& settings,
                                 Incarnation incarnation) {
  net::FlowPathOptions options;
  options.self = config::VmIdOf(settings.vm.name);
  options.incarnation = incarnation;
  options.fabric_endpoint = settings.flow.listen;
  options.hop_endpoint = settings.flow.hop_listen;
  options.flow.max_table_entries = settings.flow.max_flows;
  options.flow.idle_timeout = settings.flow.idle_timeout;
  options.flow.shared_key = settings.control.key.Reveal();
  options.seed = RandomSeed();
  return options;
}

net::RequestProxyOptions RequestOptions(const settings::Settings& settings,
                                        Incarnation incarnation) {
  net::RequestProxyOptions options;
  options.listen = settings.request.listen;
  options.self = config::VmIdOf(settings.vm.name);
  options.incarnation = incarnation;
  options.seed = RandomSeed();
  options.core.max_waiting_requests = settings.limits.queued_requests;
  options.core.max_keys = settings.limits.idempotency_keys;
  options.core.max_stored_answer_bytes = settings.limits.idempotency_answers;
  options.stop_deadline = settings.limits.stop_deadline;
  return options;
}

}  // namespace

struct VmProcess::Impl {
  explicit Impl(const settings::Settings& settings);
  ~Impl();

  std::string Open();
  int Run();

 private:
  using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

  net::ControlNodeOptions ControlOptions() const;
  control::StoreClient MakeStore();
  void MakeControlNode();
  std::string OpenOperatorServer();
  control::PlanServiceHooks MakePlanServiceHooks();
  std::vector<control::MemberStatus> ListMembers() const;
  control::TargetLoads CountTargetLoads() const;
  void OnPeerMessage(VmId from, PeerChannel channel, std::string payload);
  void WaitForSignal();
  void OnSignal();
  void BeginStop();
  void OnPlaneStopped();
  void StopFlowPlaneWhenQuiet(uint64_t packets_before);
  void OnStopDeadline();
  void Finish(int exit_code);
  void MaintainLog();
  void ScheduleBootstrap(Duration delay);

  const settings::Settings settings_;
  const Incarnation incarnation_ = MakeIncarnation();
  observe::DecisionLog log_;

  asio::io_context control_io_;
  asio::io_context flow_io_;
  asio::io_context request_io_;
  WorkGuard flow_work_;
  WorkGuard request_work_;
  asio::signal_set signals_;
  asio::steady_timer log_timer_;
  asio::steady_timer stop_timer_;
  asio::steady_timer quiet_timer_;
  asio::steady_timer bootstrap_timer_;

  // Exactly one of the two is set, depending on the settings.
  std::unique_ptr<net::LocalStore> local_store_;
  std::unique_ptr<net::HttpStoreClient> http_store_;
  control::StoreClient store_;
  std::unique_ptr<net::KeyRangeStore> key_ranges_;
  std::unique_ptr<net::FlowPath> flow_path_;
  std::unique_ptr<net::RequestProxy> request_proxy_;
  std::unique_ptr<net::ControlNode> control_node_;
  observe::MetricsRegistry metrics_;
  std::unique_ptr<control::PlanService> plan_service_;
  std::unique_ptr<net::OperatorServer> operator_server_;

  // Set before the traffic threads start, then read-only.
  SendToPeer send_to_peer_;
  std::thread flow_thread_;
  std::thread request_thread_;

  // Used on the control thread only.
  config::Deployment initial_deployment_;  // revision 0: no deployment file
  std::unique_ptr<Bootstrap> bootstrap_;
  bool stopping_ = false;
  int running_planes_ = 2;  // flow plane and request plane
  int exit_code_ = 0;
};

VmProcess::Impl::Impl(const settings::Settings& settings)
    : settings_(settings),
      log_(LogOptions(settings)),
      flow_work_(asio::make_work_guard(flow_io_)),
      request_work_(asio::make_work_guard(request_io_)),
      signals_(control_io_, SIGTERM, SIGINT),
      log_timer_(control_io_),
      stop_timer_(control_io_),
      quiet_timer_(control_io_),
      bootstrap_timer_(control_io_),
      store_(MakeStore()),
      key_ranges_(std::make_unique<net::KeyRangeStore>(store_, "key-ranges")) {
  const SendToPeer send = [this](VmId peer, PeerChannel channel,
                                 std::string payload) {
    send_to_peer_(peer, channel, std::move(payload));
  };
  flow_path_ = std::make_unique<net::FlowPath>(
      flow_io_, FlowOptions(settings_, incarnation_), send, log_.Hook());
  auto request_options = RequestOptions(settings_, incarnation_);
  const auto on_ranges = [this](bool ok,
                                std::vector<request::KeyRangeRecord> records) {
    request_proxy_->PostRangeStoreReply(ok, std::move(records));
  };
  request_options.record_ranges =
      [this, on_ranges](std::vector<request::KeyRangeRecord> records) {
        asio::post(control_io_,
                   [this, on_ranges, records = std::move(records)] {
                     key_ranges_->Record(records, on_ranges);
                   });
      };
  request_options.read_ranges = [this, on_ranges] {
    asio::post(control_io_,
               [this, on_ranges] { key_ranges_->Read(on_ranges); });
  };
  request_proxy_ = std::make_unique<net::RequestProxy>(
      request_io_, std::move(request_options), send, log_.Hook());
}

VmProcess::Impl::~Impl() {
  flow_io_.stop();
  request_io_.stop();
  if (flow_thread_.joinable()) {
    flow_thread_.join();
  }
  if (request_thread_.joinable()) {
    request_thread_.join();
  }
}

control::StoreClient VmProcess::Impl::MakeStore() {
  if (!ParseStoreUrl(settings_.store.url)) {
    local_store_ = std::make_unique<net::LocalStore>(control_io_);
    return local_store_->Client();
  }
  net::HttpStoreOptions options;
  options.endpoint = *ParseStoreUrl(settings_.store.url);
  http_store_ = std::make_unique<net::HttpStoreClient>(control_io_, options);
  return http_store_->Client();
}

net::ControlNodeOptions VmProcess::Impl::ControlOptions() const {
  net::ControlNodeOptions options;
  options.self.name = settings_.vm.name;
  options.self.id = config::VmIdOf(settings_.vm.name);
  options.self.domain = settings_.vm.failure_domain;
  options.self.incarnation = incarnation_;
  options.self.control_endpoint = settings_.control.listen;
  options.self.hop_endpoint = flow_path_->HopEndpoint();
  options.self.request_endpoint = request_proxy_->local_endpoint();
  options.transport.listen = settings_.control.listen;
  options.transport.deployment = "default";
  options.transport.key = settings_.control.key.Reveal();
  options.transport.bytes_per_second = settings_.limits.control_rate;
  options.transport.burst_bytes = settings_.limits.control_rate;
  options.seeds = settings_.control.seeds;
  return options;
}

std::string VmProcess::Impl::Open() {
  if (!settings_.store.url.empty() && !ParseStoreUrl(settings_.store.url)) {
    return "[store] url " + settings_.store.url + ": expected http://IP:PORT";
  }
  std::string error;
  if (!settings_.control.deployment.empty()) {
    initial_deployment_ =
        ReadInitialDeployment(settings_.control.deployment.string(), UnixTime(),
                              RandomSeed(), &error);
    if (!error.empty()) {
      return error;
    }
  }
  for (const auto& open :
       {std::function<std::string()>([this] { return log_.Open(); }),
        std::function<std::string()>([this] { return flow_path_->Open(); }),
        std::function<std::string()>(
            [this] { return request_proxy_->Open(); })}) {
    error = open();
    if (!error.empty()) {
      return error;
    }
  }
  MakeControlNode();
  error = control_node_->Open();
  return error.empty() ? OpenOperatorServer() : error;
}

void VmProcess::Impl::MakeControlNode() {
  control_node_ = std::make_unique<net::ControlNode>(
      control_io_, ControlOptions(), store_,
      control::DeploymentCodec{config::ToJson, config::FromJson},
      [this](const config::ControlViewPtr& view) {
        flow_path_->PostView(view);
        request_proxy_->PostView(view);
      },
      [this](VmId from, PeerChannel channel, std::string payload) {
        OnPeerMessage(from, channel, std::move(payload));
      },
      log_.Hook());
  send_to_peer_ = control_node_->PeerSender();
  bootstrap_ = std::make_unique<Bootstrap>(
      initial_deployment_,
      [this] { return control_node_->CurrentView()->deployment->revision; },
      [this](const config::Deployment& next, const std::string& change_id,
             control::ProposeCallback done) {
        control_node_->Propose(next, change_id, std::move(done));
      });
}

std::vector<control::MemberStatus> VmProcess::Impl::ListMembers() const {
  std::vector<control::MemberStatus> members;
  for (const config::Member& it : control_node_->CurrentView()->members) {
    members.push_back(
        {it.name, it.domain, std::string(NameOf(it.state)), it.revision});
  }
  for (const config::Member& it : control_node_->RemovedMembers()) {
    members.push_back({it.name, it.domain, "removed", it.revision});
  }
  return members;
}

// Flows are counted over all VMs, but requests only at this VM. The counts are
// therefore complete only in a deployment of one VM.
control::TargetLoads VmProcess::Impl::CountTargetLoads() const {
  control::TargetLoads loads;
  const net::FlowStats flow = flow_path_->Snapshot();
  for (const auto& [target, flows] : flow.target_flows) {
    loads.targets[target].flows = flows;
  }
  for (const auto& [target, requests] :
       request_proxy_->Snapshot().core.in_progress) {
    loads.targets[target].requests = requests;
  }
  loads.complete = flow.target_flows_complete &&
                   control_node_->CurrentView()->members.size() == 1;
  return loads;
}

control::PlanServiceHooks VmProcess::Impl::MakePlanServiceHooks() {
  control::PlanServiceHooks hooks;
  hooks.current = [this] { return control_node_->CurrentView()->deployment; };
  hooks.members = [this] { return ListMembers(); };
  hooks.load = [this] { return std::optional(CountTargetLoads()); };
  hooks.propose = [this](const config::Deployment& next,
                         const std::string& change_id,
                         control::ProposeCallback done) {
    control_node_->Propose(next, change_id, std::move(done));
  };
  hooks.unix_time = UnixTime;
  hooks.random = RandomSeed;
  hooks.decide = log_.Hook();
  return hooks;
}

std::string VmProcess::Impl::OpenOperatorServer() {
  AddVmMetrics(metrics_, {[this] { return flow_path_->Snapshot(); },
                          [this] { return request_proxy_->Snapshot(); },
                          [this] { return control_node_->Snapshot(); },
                          [this] { return log_.DroppedLines(); }});
  control::PlanServiceOptions plan_options;
  plan_options.vm = settings_.vm.name;
  plan_options.key = settings_.control.key.Reveal();
  plan_service_ = std::make_unique<control::PlanService>(
      plan_options, MakePlanServiceHooks());
  net::OperatorServerOptions options;
  options.listen = settings_.operators.listen;
  options.token = settings_.operators.token;
  options.tls_certificate = settings_.operators.tls_certificate;
  options.tls_key = settings_.operators.tls_key;
  options.max_body_bytes = settings_.limits.operator_request;
  options.metrics = [this] { return metrics_.Render(); };
  operator_server_ = std::make_unique<net::OperatorServer>(
      control_io_, std::move(options), *plan_service_);
  return operator_server_->Open();
}

void VmProcess::Impl::OnPeerMessage(VmId from,
                                    PeerChannel channel,
                                    std::string payload) {
  if (channel == PeerChannel::kFlow) {
    flow_path_->PostPeerMessage(from, std::move(payload));
  } else if (channel == PeerChannel::kRequest) {
    request_proxy_->PostPeerMessage(from, std::move(payload));
  }
}

int VmProcess::Impl::Run() {
  log_.WriteMessage(LogLevel::kInfo, "serving");
  WaitForSignal();
  MaintainLog();
  ScheduleBootstrap(kBootstrapDelay);
  flow_thread_ = std::thread([this] { flow_io_.run(); });
  request_thread_ = std::thread([this] { request_io_.run(); });
  control_io_.run();
  return exit_code_;
}

void VmProcess::Impl::MaintainLog() {
  log_.ReportDropsAndFlush();
  log_timer_.expires_after(kLogInterval);
  log_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) {
      MaintainLog();
    }
  });
}

void VmProcess::Impl::ScheduleBootstrap(Duration delay) {
  bootstrap_timer_.expires_after(delay);
  bootstrap_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec && !bootstrap_->TryPropose()) {
      ScheduleBootstrap(kBootstrapInterval);
    }
  });
}

void VmProcess::Impl::WaitForSignal() {
  signals_.async_wait([this](const asio::error_code& ec, int) {
    if (!ec) {
      OnSignal();
    }
  });
}

void VmProcess::Impl::OnSignal() {
  if (stopping_) {
    log_.WriteMessage(
        LogLevel::kWarning,
        "second signal: exiting at once, cutting requests that still run");
    Finish(1);
    return;
  }
  stopping_ = true;
  WaitForSignal();
  BeginStop();
}

// Peers learn that this VM leaves before its planes stop, so that the ownership
// of buckets, slots and key ranges moves while this VM can still answer.
void VmProcess::Impl::BeginStop() {
  log_.WriteMessage(LogLevel::kInfo,
                    "stopping: finishing requests and handing over flows");
  control_node_->BeginLeave();
  request_proxy_->PostStop(
      [this] { asio::post(control_io_, [this] { OnPlaneStopped(); }); });
  StopFlowPlaneWhenQuiet(flow_path_->Snapshot().fabric_packets_received);
  // Longer than the deadline of the request plane, which ends a normal stop.
  stop_timer_.expires_after(settings_.limits.stop_deadline +
                            std::chrono::seconds(2));
  stop_timer_.async_wait([this](const asio::error_code& ec) {
    if (!ec) {
      OnStopDeadline();
    }
  });
}

void VmProcess::Impl::OnPlaneStopped() {
  if (--running_planes_ == 0) {
    control_node_->Leave([this] { Finish(0); });
  }
}

void VmProcess::Impl::StopFlowPlaneWhenQuiet(uint64_t packets_before) {
  quiet_timer_.expires_after(kFabricQuietTime);
  quiet_timer_.async_wait([this, packets_before](const asio::error_code& ec) {
    if (ec) {
      return;
    }
    const net::FlowStats flow = flow_path_->Snapshot();
    if (flow.fabric_packets_received != packets_before || !flow.handed_over) {
      StopFlowPlaneWhenQuiet(flow.fabric_packets_received);
      return;
    }
    flow_path_->PostStop(
        [this] { asio::post(control_io_, [this] { OnPlaneStopped(); }); });
  });
}

// At this point requests may still run, the fabric may still send packets, or
// flow exceptions may wait for the rate limit of control traffic. Only requests
// count as cut: the fabric sends packets to another VM once it notices the
// leave.
void VmProcess::Impl::OnStopDeadline() {
  const bool requests_cut = request_proxy_->Snapshot().open_requests > 0;
  log_.WriteMessage(
      LogLevel::kWarning,
      requests_cut ? "stop deadline: cutting requests"
                   : "stop deadline: flows are not completely handed over");
  control_node_->Leave([this, requests_cut] { Finish(requests_cut ? 1 : 0); });
}

void VmProcess::Impl::Finish(int exit_code) {
  exit_code_ = exit_code;
  log_.WriteMessage(LogLevel::kInfo, "stopped");
  log_.ReportDropsAndFlush();
  control_io_.stop();
}

VmProcess::VmProcess(const settings::Settings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

VmProcess::~VmProcess() = default;

std::string VmProcess::Open() {
  return impl_->Open();
}

int VmProcess::Run() {
  return impl_->Run();
}

}  // namespace marjoramhall::app

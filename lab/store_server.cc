// HTTP handlers that serve a StoreTable.
#include "lab/store_server.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>

#include "src/control/store_table.h"
#include "src/net/http_library.h"
#include "src/net/http_server_thread.h"

namespace marjoramhall::lab {
namespace {

using control::StoreStatus;
using nlohmann::json;

// A watch occupies a thread while it waits.
constexpr size_t kServerThreads = 64;

uint64_t ToNumber(const std::string& text) {
  uint64_t result = 0;
  std::from_chars(text.data(), text.data() + text.size(), result);
  return result;
}

// Closes the connection before the body is sent.
void LoseAnswer(httplib::Response& response) {
  response.set_content_provider(
      1, "text/plain",
      [](size_t, size_t, httplib::DataSink&) { return false; });
}

json FaultsToJson(const StoreFaults& faults) {
  return {{"down", faults.down},
          {"delay_ms", faults.delay_ms},
          {"lose_answers", faults.lose_answers},
          {"lose_next_answers", faults.lose_next_answers},
          {"drop_watches", faults.drop_watches},
          {"delay_watches_ms", faults.delay_watches_ms}};
}

// Sets the faults that `text` has; others keep their values. Returns an error,
// or an empty string.
std::string FaultsFromJson(const std::string& text, StoreFaults* faults) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return "faults must be a JSON object";
  }
  try {
    faults->down = object.value("down", faults->down);
    faults->delay_ms = object.value("delay_ms", faults->delay_ms);
    faults->lose_answers = object.value("lose_answers", faults->lose_answers);
    faults->lose_next_answers =
        object.value("lose_next_answers", faults->lose_next_answers);
    faults->drop_watches = object.value("drop_watches", faults->drop_watches);
    faults->delay_watches_ms =
        object.value("delay_watches_ms", faults->delay_watches_ms);
  } catch (const json::exception& e) {
    return e.what();
  }
  return "";
}

}  // namespace

struct StoreServer::Impl {
  void RegisterHandlers();
  // Counts the call, delays it and refuses it if the store is down. Returns
  // false if the call has been refused.
  bool BeginCall(const std::string& kind, httplib::Response& response);
  // Returns true if the answer of this call has to be lost.
  bool ConsumeLostAnswer();
  void Get(const httplib::Request& request, httplib::Response& response);
  void Put(const httplib::Request& request, httplib::Response& response);
  void Lease(const httplib::Request& request, httplib::Response& response);
  // Blocks until the version differs from `known`, or until the timeout.
  control::StoreValue WaitForChange(const std::string& key,
                                    uint64_t known,
                                    std::chrono::milliseconds timeout);
  std::string Restore(const std::string& text);
  std::string StatsJson();

  httplib::Server server;
  net::HttpServerThread thread;
  Endpoint local;

  std::mutex mutex;
  std::condition_variable changed;
  // Guarded by mutex.
  control::StoreTable table;
  StoreFaults faults;
  std::map<std::string, uint64_t> counts;
  uint64_t waiting = 0;
  bool stopping = false;
};

bool StoreServer::Impl::BeginCall(const std::string& kind,
                                  httplib::Response& response) {
  int delay_ms = 0;
  {
    const std::lock_guard lock(mutex);
    ++counts[kind];
    delay_ms = faults.delay_ms;
  }
  if (delay_ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
  }
  const std::lock_guard lock(mutex);
  if (faults.down) {
    ++counts["refused"];
    response.status = 503;
    return false;
  }
  return true;
}

bool StoreServer::Impl::ConsumeLostAnswer() {
  const bool next = faults.lose_next_answers > 0;
  faults.lose_next_answers -= next ? 1 : 0;
  const bool lost = next || faults.lose_answers;
  counts["lost_answers"] += lost ? 1 : 0;
  return lost;
}

control::StoreValue StoreServer::Impl::WaitForChange(
    const std::string& key,
    uint64_t known,
    std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex);
  ++waiting;
  const bool woken = changed.wait_for(lock, timeout, [&] {
    return stopping ||
           (!faults.drop_watches && table.Read(key).version != known);
  });
  --waiting;
  const auto delay = std::chrono::milliseconds(faults.delay_watches_ms);
  if (woken && !stopping && delay.count() > 0) {
    changed.wait_for(lock, delay, [&] { return stopping; });
  }
  return table.Read(key);
}

void StoreServer::Impl::Get(const httplib::Request& request,
                            httplib::Response& response) {
  const bool watching = request.has_param("known");
  if (!BeginCall(watching ? "watches" : "reads", response)) {
    return;
  }
  const std::string key = request.matches[1];
  control::StoreValue value;
  if (watching) {
    const uint64_t timeout = std::min<uint64_t>(
        ToNumber(request.get_param_value("timeout-ms")), 60'000);
    value = WaitForChange(key, ToNumber(request.get_param_value("known")),
                          std::chrono::milliseconds(timeout));
  } else {
    const std::lock_guard lock(mutex);
    value = table.Read(key);
  }
  response.set_header("x-version", std::to_string(value.version));
  response.status = value.version == 0 ? 404 : 200;
  response.set_content(value.value, "application/octet-stream");
}

void StoreServer::Impl::Put(const httplib::Request& request,
                            httplib::Response& response) {
  if (!BeginCall("writes", response)) {
    return;
  }
  if (!request.has_header("x-expected-version")) {
    response.status = 400;
    return;
  }
  const std::lock_guard lock(mutex);
  const auto [status, version] = table.CompareAndSwap(
      request.matches[1],
      ToNumber(request.get_header_value("x-expected-version")), request.body);
  changed.notify_all();
  if (ConsumeLostAnswer()) {
    LoseAnswer(response);
    return;
  }
  response.set_header("x-version", std::to_string(version));
  response.status = status == StoreStatus::kOk         ? 200
                    : status == StoreStatus::kConflict ? 409
                                                       : 413;
}

void StoreServer::Impl::Lease(const httplib::Request& request,
                              httplib::Response& response) {
  if (!BeginCall("leases", response)) {
    return;
  }
  const auto ttl =
      std::chrono::milliseconds(ToNumber(request.get_header_value("x-ttl-ms")));
  const std::lock_guard lock(mutex);
  const auto [status, lease] = table.AcquireLease(
      request.matches[1], request.get_header_value("x-holder"), ttl,
      SteadyNow());
  if (ConsumeLostAnswer()) {
    LoseAnswer(response);
    return;
  }
  response.set_header("x-fencing", std::to_string(lease.fencing_token));
  response.status = status == StoreStatus::kOk ? 200 : 409;
}

std::string StoreServer::Impl::Restore(const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return "the content must be a JSON object of key to value";
  }
  std::map<std::string, std::string> content;
  for (const auto& [key, value] : object.items()) {
    content[key] = value.is_string() ? value.get<std::string>() : value.dump();
  }
  const std::lock_guard lock(mutex);
  table.Restore(content);
  changed.notify_all();
  return "";
}

std::string StoreServer::Impl::StatsJson() {
  const std::lock_guard lock(mutex);
  json object = json::object();
  for (const char* it :
       {"reads", "writes", "leases", "watches", "refused", "lost_answers"}) {
    object[it] = counts[it];
  }
  object["waiting_watches"] = waiting;
  return object.dump();
}

void StoreServer::Impl::RegisterHandlers() {
  server.Get(R"(/v1/kv/(.+))", [this](const auto& request, auto& response) {
    Get(request, response);
  });
  server.Put(R"(/v1/kv/(.+))", [this](const auto& request, auto& response) {
    Put(request, response);
  });
  server.Post(R"(/v1/leases/(.+))",
              [this](const auto& request, auto& response) {
                Lease(request, response);
              });
  server.Get("/lab/stats", [this](const auto&, auto& response) {
    response.set_content(StatsJson(), "application/json");
  });
  server.Get("/lab/faults", [this](const auto&, auto& response) {
    const std::lock_guard lock(mutex);
    response.set_content(FaultsToJson(faults).dump(), "application/json");
  });
  server.Put("/lab/faults", [this](const auto& request, auto& response) {
    const std::lock_guard lock(mutex);
    const std::string error = FaultsFromJson(request.body, &faults);
    changed.notify_all();
    response.status = error.empty() ? 200 : 400;
    response.set_content(error.empty() ? FaultsToJson(faults).dump() : error,
                         "application/json");
  });
  server.Get("/lab/content", [this](const auto&, auto& response) {
    const std::lock_guard lock(mutex);
    response.set_content(json(table.Content()).dump(), "application/json");
  });
  server.Put("/lab/content", [this](const auto& request, auto& response) {
    const std::string error = Restore(request.body);
    response.status = error.empty() ? 200 : 400;
    response.set_content(error, "text/plain");
  });
}

StoreServer::StoreServer() : impl_(std::make_unique<Impl>()) {
  impl_->server.new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  impl_->server.set_keep_alive_max_count(1'000'000);
  impl_->server.set_tcp_nodelay(true);
  impl_->server.set_payload_max_length(control::kMaxStoreValueBytes + 4096);
  impl_->RegisterHandlers();
}

StoreServer::~StoreServer() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->changed.notify_all();
  impl_->thread.Stop();
}

std::string StoreServer::Open(const Endpoint& listen) {
  const std::string host = listen.address.ToString();
  const std::string what = "listening on " + listen.ToString() + " as store: ";
  int port = listen.port;
  const bool bound = port == 0
                         ? (port = impl_->server.bind_to_any_port(host)) > 0
                         : impl_->server.bind_to_port(host, port);
  if (!bound) {
    return what + "bind failed";
  }
  impl_->local = {listen.address, static_cast<uint16_t>(port)};
  if (const std::string error = impl_->thread.Start(impl_->server);
      !error.empty()) {
    return what + error;
  }
  return "";
}

Endpoint StoreServer::local_endpoint() const {
  return impl_->local;
}

void StoreServer::SetFaults(const StoreFaults& faults) {
  const std::lock_guard lock(impl_->mutex);
  impl_->faults = faults;
  impl_->changed.notify_all();
}

std::string StoreServer::Restore(const std::string& text) {
  return impl_->Restore(text);
}

std::string StoreServer::StatsJson() const {
  return impl_->StatsJson();
}

uint64_t StoreServer::CallCount(const std::string& kind) const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->counts[kind];
}

}  // namespace marjoramhall::lab

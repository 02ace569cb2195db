// Queries of the control paths of stand-in targets.
#include "lab/http_load_verify.h"

#include <memory>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "src/net/http2_transport.h"

namespace marjoramhall::lab {
namespace {

constexpr Duration kFetchTimeout = std::chrono::seconds(5);

struct Fetch {
  net::Http2SessionPtr session;
  int32_t stream = 0;
  std::string body;
  bool whole = false;
  bool done = false;
};

void StartFetch(const std::shared_ptr<Fetch>& fetch,
                const Endpoint& from,
                const std::string& method,
                const std::string& path,
                const std::string& body) {
  net::StreamHooks hooks;
  hooks.on_body = [fetch](std::string_view data) {
    fetch->body.append(data);
    fetch->session->Consume(fetch->stream, data.size());
  };
  hooks.on_end = [fetch](const net::HeaderFields&) { fetch->whole = true; };
  hooks.on_close = [fetch](net::StreamEnd, uint32_t) { fetch->done = true; };
  fetch->stream = fetch->session->Open({{":method", method},
                                        {":scheme", "http"},
                                        {":authority", from.ToString()},
                                        {":path", path}},
                                       body.empty(), hooks);
  if (!body.empty()) {
    fetch->session->Write(fetch->stream, body);
    fetch->session->Finish(fetch->stream);
  }
}

}  // namespace

std::string FetchBody(asio::io_context& io,
                      const Endpoint& from,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body) {
  auto fetch = std::make_shared<Fetch>();
  net::ConnectHttp2(
      io, from, kFetchTimeout, net::Http2Limits{},
      std::make_shared<net::Http2Counters>(), {},
      [=](const net::Http2SessionPtr& session, const std::string&) {
        fetch->session = session;
        if (session) {
          StartFetch(fetch, from, method, path, body);
        } else {
          fetch->done = true;
        }
      });
  const TimePoint end = SteadyNow() + kFetchTimeout;
  while (!fetch->done && SteadyNow() < end) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(100));
  }
  if (fetch->session) {
    fetch->session->Close();
  }
  return fetch->whole ? fetch->body : std::string();
}

ExecutionReport VerifyExecutions(asio::io_context& io,
                                 const std::vector<Endpoint>& targets,
                                 const std::vector<std::string>& not_run) {
  ExecutionReport out;
  out.queried = !targets.empty();
  out.not_run = not_run.size();
  std::string ids;
  for (const std::string& it : not_run) {
    ids.append(it).push_back('\n');
  }
  for (const Endpoint& it : targets) {
    const auto stats = nlohmann::json::parse(
        FetchBody(io, it, "GET", "/lab/stats", {}), nullptr, false);
    if (stats.is_discarded()) {
      out.complete = false;
      continue;
    }
    out.executed += stats.value("executed", uint64_t{0});
    out.doubled_keys += stats["keys"].value("more_than_once", uint64_t{0});
    out.doubled_ids += stats["ids"].value("more_than_once", uint64_t{0});
    out.repeated_reads += stats["reads"].value("more_than_once", uint64_t{0});
    out.complete = out.complete && !stats.value("overflowed", false);
    if (ids.empty()) {
      continue;
    }
    const auto ran = nlohmann::json::parse(
        FetchBody(io, it, "POST", "/lab/executions", ids), nullptr, false);
    if (ran.is_discarded()) {
      out.complete = false;
      continue;
    }
    out.false_not_run += ran.value("executed", uint64_t{0});
  }
  return out;
}

}  // namespace marjoramhall::lab

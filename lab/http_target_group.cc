// The control paths of stand-in targets.
#include "lab/http_target_group.h"

#include <cstdlib>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace marjoramhall::lab {
namespace {

using net::HeaderFields;
using net::Http2SessionPtr;

constexpr size_t kMaxControlBodyBytes = size_t{16} << 20;
constexpr size_t kMaxListedNames = 100;

void Reply(const Http2SessionPtr& session,
           int32_t stream,
           const std::string& status,
           const std::string& body) {
  session->Respond(stream,
                   {{":status", status}, {"content-type", "application/json"}},
                   false);
  session->Write(stream, body);
  session->Finish(stream);
}

// Calls `use` with each part of `text` between separators.
template <typename Use>
void Split(std::string_view text, char separator, const Use& use) {
  while (!text.empty()) {
    const size_t end = text.find(separator);
    use(text.substr(0, end));
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
  }
}

nlohmann::json SummarizeExecutions(
    const std::unordered_map<std::string, uint32_t>& runs) {
  nlohmann::json listed = nlohmann::json::array();
  uint64_t count = 0;
  for (const auto& [name, n] : runs) {
    if (n > 1) {
      count++;
      if (listed.size() < kMaxListedNames) {
        listed.push_back(name);
      }
    }
  }
  return {{"total", runs.size()}, {"more_than_once", count}, {"names", listed}};
}

}  // namespace

std::string TargetGroup::Add(StandInOptions options) {
  targets_.push_back(std::make_unique<StandInTarget>(
      io_, std::move(options), execution_counts_,
      [this](const Http2SessionPtr& session, int32_t stream,
             const net::MessageHead& head) {
        return Serve(session, stream, head);
      }));
  return targets_.back()->Open();
}

std::string TargetGroup::StatsJson() const {
  nlohmann::json targets = nlohmann::json::array();
  StandInCounts sum;
  for (const auto& it : targets_) {
    const StandInCounts& n = it->counts();
    targets.push_back({{"name", it->options().name},
                       {"service", it->options().service},
                       {"address", it->local_endpoint().ToString()},
                       {"received", n.received},
                       {"executed", n.executed},
                       {"answered", n.answered},
                       {"shed", n.shed},
                       {"refused", n.refused},
                       {"cancelled", n.cancelled},
                       {"running", n.running},
                       {"waiting", n.waiting},
                       {"peak_running", n.peak_running}});
    sum.executed += n.executed;
    sum.shed += n.shed;
    sum.cancelled += n.cancelled;
  }
  const nlohmann::json out = {
      {"executed", sum.executed},
      {"shed", sum.shed},
      {"cancelled", sum.cancelled},
      {"keys", SummarizeExecutions(execution_counts_->by_key)},
      {"ids", SummarizeExecutions(execution_counts_->by_id)},
      {"reads", SummarizeExecutions(execution_counts_->reads_by_id)},
      {"overflowed", execution_counts_->overflowed},
      {"targets", targets},
  };
  return out.dump();
}

std::string TargetGroup::ExecutionsJson(std::string_view ids) const {
  uint64_t count = 0;
  nlohmann::json listed = nlohmann::json::array();
  Split(ids, '\n', [&](std::string_view id) {
    const std::string name(id);
    if (execution_counts_->by_id.count(name) > 0 ||
        execution_counts_->reads_by_id.count(name) > 0) {
      count++;
      if (listed.size() < kMaxListedNames) {
        listed.push_back(name);
      }
    }
  });
  return nlohmann::json{{"executed", count}, {"names", listed}}.dump();
}

std::string TargetGroup::ApplyControl(StandInTarget& target,
                                      std::string_view name,
                                      std::string_view value) {
  if (name == "drain") {
    target.SetDraining(value == "1");
  } else if (name == "refuse") {
    target.SetRefusing(value == "1");
  } else if (name == "slow") {
    target.SetServiceTimeFactor(
        std::strtod(std::string(value).c_str(), nullptr));
  } else if (name == "health") {
    const auto mode = ParseEnum<HealthMode>(value);
    if (!mode) {
      return "unknown health mode \"" + std::string(value) + "\"";
    }
    target.SetHealth(*mode);
  } else if (name == "kill") {
    asio::post(io_, [&target] { target.Kill(); });
  } else if (name == "revive") {
    asio::post(io_, [&target] { target.Open(); });
  } else if (name != "target") {
    return "unknown control \"" + std::string(name) + "\"";
  }
  return {};
}

std::string TargetGroup::ApplyControlQuery(std::string_view query) {
  std::string_view wanted;
  Split(query, '&', [&](std::string_view part) {
    if (part.starts_with("target=")) {
      wanted = part.substr(7);
    }
  });
  std::string error = "no target \"" + std::string(wanted) + "\"";
  for (const auto& it : targets_) {
    if (wanted != "*" && wanted != it->options().name) {
      continue;
    }
    error.clear();
    Split(query, '&', [&](std::string_view part) {
      const size_t equals = part.find('=');
      const std::string_view value =
          equals == std::string_view::npos ? "" : part.substr(equals + 1);
      const std::string failed =
          ApplyControl(*it, part.substr(0, equals), value);
      error = error.empty() ? failed : error;
    });
  }
  return error;
}

net::StreamHooks TargetGroup::Serve(const Http2SessionPtr& session,
                                    int32_t stream,
                                    const net::MessageHead& head) {
  const std::string path(net::FieldOf(head.fields, ":path"));
  auto body = std::make_shared<std::string>();
  net::StreamHooks hooks;
  hooks.on_body = [session, stream, body](std::string_view data) {
    session->Consume(stream, data.size());
    if (body->size() + data.size() > kMaxControlBodyBytes) {
      session->Reset(stream, net::kHttp2EnhanceYourCalm);
      return;
    }
    body->append(data);
  };
  hooks.on_end = [this, session, stream, body, path](const HeaderFields&) {
    if (path == "/lab/stats") {
      Reply(session, stream, "200", StatsJson());
    } else if (path == "/lab/executions") {
      Reply(session, stream, "200", ExecutionsJson(*body));
    } else if (path.starts_with("/lab/control?")) {
      const std::string error =
          ApplyControlQuery(std::string_view(path).substr(13));
      Reply(session, stream, error.empty() ? "200" : "400",
            nlohmann::json{{"error", error}}.dump());
    } else {
      Reply(session, stream, "404", "{}");
    }
  };
  return hooks;
}

void TargetGroup::Shutdown() {
  for (const auto& it : targets_) {
    it->Shutdown();
  }
}

size_t TargetGroup::sessions() const {
  size_t n = 0;
  for (const auto& it : targets_) {
    n += it->sessions();
  }
  return n;
}

}  // namespace marjoramhall::lab

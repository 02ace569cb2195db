// The connection pool for targets.
#include "src/net/request_proxy_pool.h"

#include <algorithm>
#include <utility>

#include "src/net/http2_transport.h"

namespace marjoramhall::net {

TargetPool::TargetPool(asio::io_context& io,
                       const Http2Limits& limits,
                       size_t max_connections_per_target,
                       Duration connect_timeout,
                       std::shared_ptr<Http2Counters> counters)
    : io_(io),
      limits_(limits),
      max_connections_per_target_(
          std::max<size_t>(max_connections_per_target, 1)),
      connect_timeout_(connect_timeout),
      counters_(std::move(counters)),
      self_(std::make_shared<TargetPool*>(this)) {}

TargetPool::~TargetPool() {
  Close();
}

uint64_t TargetPool::Acquire(const config::Target& target, AcquireHook done) {
  Entry& entry = entries_[target.id];
  if (entry.endpoint != target.request_endpoint) {
    // The configuration changed the target's endpoint. The old address may soon
    // belong to another service.
    ShutdownEntry(entry);
    entry.endpoint = target.request_endpoint;
    entry.generation = ++last_ticket_;
  }
  const uint64_t ticket = ++last_ticket_;
  const bool full =
      entry.sessions.size() + entry.connecting >= max_connections_per_target_;
  if (entry.waiters.empty()) {
    const Http2SessionPtr session = ChooseSession(entry, !full);
    if (session) {
      done(session, {});
      return ticket;
    }
  }
  entry.waiters.push_back({ticket, std::move(done)});
  if (!full) {
    Connect(target.id, entry);
  }
  return ticket;
}

void TargetPool::Cancel(uint64_t ticket) {
  for (auto& [id, entry] : entries_) {
    std::erase_if(entry.waiters,
                  [ticket](const Waiter& it) { return it.ticket == ticket; });
  }
}

void TargetPool::OnStreamEnded(TargetId target) {
  ServeWaiters(target);
}

// Returns the session with the fewest streams that can open another one, or
// null. With `idle_only`, returns only a session without streams.
Http2SessionPtr TargetPool::ChooseSession(Entry& entry, bool idle_only) {
  Http2SessionPtr best;
  for (const Http2SessionPtr& it : entry.sessions) {
    if (it->CanOpen() && (!best || it->open_streams() < best->open_streams())) {
      best = it;
    }
  }
  if (best && idle_only && best->open_streams() > 0) {
    return nullptr;
  }
  return best;
}

void TargetPool::Connect(TargetId id, Entry& entry) {
  entry.connecting++;
  const std::weak_ptr<TargetPool*> weak = self_;
  const Endpoint endpoint = entry.endpoint;
  const uint64_t generation = entry.generation;
  auto session = std::make_shared<std::weak_ptr<Http2Session>>();
  const auto remove_session = [weak, id, session] {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    const auto it = (*self)->entries_.find(id);
    if (it != (*self)->entries_.end()) {
      std::erase(it->second.sessions, session->lock());
      (*self)->ServeWaiters(id);
    }
  };
  SessionHooks hooks;
  hooks.on_draining = remove_session;
  hooks.on_closed = remove_session;
  ConnectHttp2(io_, endpoint, connect_timeout_, limits_, counters_,
               std::move(hooks),
               [weak, id, generation, session](const Http2SessionPtr& it,
                                               const std::string& error) {
                 *session = it;
                 const auto self = weak.lock();
                 if (self) {
                   (*self)->OnConnected(id, generation, it, error);
                 } else if (it) {
                   it->Close();
                 }
               });
}

void TargetPool::OnConnected(TargetId id,
                             uint64_t generation,
                             const Http2SessionPtr& session,
                             const std::string& error) {
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.generation != generation) {
    if (session) {
      session->Close();
    }
    return;
  }
  Entry& entry = it->second;
  entry.connecting--;
  if (session) {
    entry.sessions.push_back(session);
    ServeWaiters(id);
    return;
  }
  // Connecting failed, so the request shares a connection in use, if any.
  if (!entry.waiters.empty()) {
    const Waiter waiter = std::move(entry.waiters.front());
    entry.waiters.pop_front();
    const Http2SessionPtr shared = ChooseSession(entry, false);
    waiter.done(shared, shared ? std::string() : error);
  }
  ServeWaiters(id);
}

void TargetPool::ServeWaiters(TargetId id) {
  // Hooks may change the entry, so it is looked up in each iteration.
  for (;;) {
    const auto it = entries_.find(id);
    if (it == entries_.end() || it->second.waiters.empty()) {
      return;
    }
    Entry& entry = it->second;
    const bool full =
        entry.sessions.size() + entry.connecting >= max_connections_per_target_;
    const Http2SessionPtr session =
        ChooseSession(entry, entry.connecting > 0 || !full);
    if (!session) {
      if (!full && entry.connecting < entry.waiters.size()) {
        Connect(id, entry);
      }
      return;
    }
    const Waiter waiter = std::move(entry.waiters.front());
    entry.waiters.pop_front();
    waiter.done(session, {});
  }
}

void TargetPool::ShutdownEntry(Entry& entry) {
  const auto sessions = std::move(entry.sessions);
  entry.sessions.clear();
  entry.connecting = 0;
  for (const Http2SessionPtr& it : sessions) {
    it->Shutdown();
  }
  const auto waiters = std::move(entry.waiters);
  entry.waiters.clear();
  for (const Waiter& it : waiters) {
    it.done(nullptr, "the target is draining or its endpoint has changed");
  }
}

void TargetPool::RetainTargets(const config::Deployment& deployment) {
  std::map<TargetId, Endpoint> known;
  for (const config::Service& service : deployment.services) {
    for (const config::Target& target : service.targets) {
      if (target.state == config::TargetState::kDraining) {
        continue;
      }
      known[target.id] = target.request_endpoint;
    }
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto now = known.find(it->first);
    if (now != known.end() && now->second == it->second.endpoint) {
      ++it;
      continue;
    }
    Entry entry = std::move(it->second);
    it = entries_.erase(it);
    ShutdownEntry(entry);
  }
}

void TargetPool::Shutdown() {
  for (auto& [id, entry] : entries_) {
    ShutdownEntry(entry);
  }
}

void TargetPool::Close() {
  self_.reset();
  for (auto& [id, entry] : entries_) {
    for (const Http2SessionPtr& it : entry.sessions) {
      it->Close();
    }
    entry.sessions.clear();
  }
}

size_t TargetPool::connections(TargetId target) const {
  const auto it = entries_.find(target);
  return it == entries_.end() ? 0 : it->second.sessions.size();
}

}  // namespace marjoramhall::net

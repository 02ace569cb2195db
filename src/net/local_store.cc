// The in-memory store. Results are posted, so that no callback runs during its
// call.
#include "src/net/local_store.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace marjoramhall::net {

using control::StoreStatus;
using control::StoreValue;

struct LocalStore::State {
  explicit State(asio::io_context& context) : io(context) {}

  asio::io_context& io;
  control::StoreTable table;
  bool open = true;
};

LocalStore::LocalStore(asio::io_context& io)
    : state_(std::make_shared<State>(io)) {}

LocalStore::~LocalStore() {
  state_->open = false;
  state_->table.DropWatches();
}

control::StoreTable& LocalStore::table() {
  return state_->table;
}

control::StoreClient LocalStore::Client() {
  control::StoreClient result;
  result.read = [s = state_](const std::string& key,
                             control::ReadCallback done) {
    const auto status = s->open ? StoreStatus::kOk : StoreStatus::kUnavailable;
    asio::post(s->io, [status, value = s->table.Read(key),
                       done = std::move(done)] { done(status, value); });
  };
  result.compare_and_swap = [s = state_](const std::string& key,
                                         uint64_t expected, std::string value,
                                         control::WriteCallback done) {
    auto [status, version] =
        s->open ? s->table.CompareAndSwap(key, expected, std::move(value))
                : std::pair(StoreStatus::kUnavailable, uint64_t{0});
    asio::post(s->io, [status = status, version = version,
                       done = std::move(done)] { done(status, version); });
  };
  result.acquire_lease = [s = state_](const std::string& name,
                                      const std::string& holder, Duration ttl,
                                      control::LeaseCallback done) {
    auto [status, lease] =
        s->open ? s->table.AcquireLease(name, holder, ttl, SteadyNow())
                : std::pair(StoreStatus::kUnavailable, control::StoreLease());
    asio::post(s->io, [status = status, lease = lease, done = std::move(done)] {
      done(status, lease);
    });
  };
  result.watch = [s = state_](const std::string& key, uint64_t known,
                              Duration timeout, control::ReadCallback done) {
    if (!s->open) {
      asio::post(s->io, [done = std::move(done)] {
        done(StoreStatus::kUnavailable, StoreValue());
      });
      return;
    }
    s->table.Watch(key, known, SteadyNow() + timeout,
                   [s, done = std::move(done)](StoreValue value) {
                     asio::post(s->io, [done, value = std::move(value)] {
                       done(StoreStatus::kOk, value);
                     });
                   });
    // One timer per watch is enough: watches last seconds and there are few.
    auto timer = std::make_shared<asio::steady_timer>(
        s->io, timeout + std::chrono::milliseconds(1));
    timer->async_wait([s, timer](const std::error_code& ec) {
      if (!ec && s->open) {
        s->table.ExpireWatches(SteadyNow());
      }
    });
  };
  return result;
}

}  // namespace marjoramhall::net

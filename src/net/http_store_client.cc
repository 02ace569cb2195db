// Worker threads, and the mapping of HTTP responses to store results.
#include "src/net/http_store_client.h"

#include <httplib.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <cctype>
#include <charconv>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace marjoramhall::net {
namespace {

using control::StoreStatus;
using control::StoreValue;

uint64_t HeaderNumber(const httplib::Response& response, const char* name) {
  const std::string text = response.get_header_value(name);
  uint64_t result = 0;
  std::from_chars(text.data(), text.data() + text.size(), result);
  return result;
}

StoreStatus ToStoreStatus(const httplib::Result& result) {
  if (!result) {
    const auto error = result.error();
    const bool not_sent = error == httplib::Error::Connection ||
                          error == httplib::Error::ConnectionTimeout ||
                          error == httplib::Error::BindIPAddress;
    return not_sent ? StoreStatus::kUnavailable : StoreStatus::kUnknown;
  }
  switch (result->status) {
    case 200:
      return StoreStatus::kOk;
    case 409:
      return StoreStatus::kConflict;
    case 503:
      return StoreStatus::kUnavailable;
    default:
      // 4xx: the store rejected the call without effect.
      return result->status >= 400 && result->status < 500
                 ? StoreStatus::kUnavailable
                 : StoreStatus::kUnknown;
  }
}

std::pair<StoreStatus, StoreValue> ToStoreValue(httplib::Result result) {
  if (result && result->status == 404) {
    return {StoreStatus::kOk, StoreValue()};
  }
  const StoreStatus status = ToStoreStatus(result);
  if (status != StoreStatus::kOk) {
    return {status, StoreValue()};
  }
  const uint64_t version = HeaderNumber(*result, "x-version");
  if (version == 0) {
    return {StoreStatus::kUnknown, StoreValue()};
  }
  return {StoreStatus::kOk, StoreValue{std::move(result->body), version}};
}

std::chrono::microseconds ToMicroseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::microseconds>(span);
}

// Threads, each with its own connection, that serve one bounded queue.
class WorkerPool {
 public:
  using Call = std::function<void(httplib::Client&)>;

  WorkerPool(const HttpStoreOptions& options, size_t threads)
      : max_queued_calls_(options.max_queued_calls) {
    for (size_t i = 0; i < threads; ++i) {
      auto client = std::make_unique<httplib::Client>(
          options.endpoint.address.ToString(), options.endpoint.port);
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      client->set_connection_timeout(ToMicroseconds(options.connect_timeout));
      client->set_read_timeout(ToMicroseconds(options.call_timeout));
      client->set_write_timeout(ToMicroseconds(options.call_timeout));
      clients_.push_back(std::move(client));
    }
    running_threads_ = clients_.size();
    for (auto& it : clients_) {
      threads_.emplace_back([this, client = it.get()] {
        Run(*client);
        const std::lock_guard lock(mutex_);
        --running_threads_;
        thread_ended_.notify_all();
      });
    }
  }

  ~WorkerPool() {
    {
      std::unique_lock lock(mutex_);
      stopping_ = true;
      queue_.clear();
      work_available_.notify_all();
      // Repeated because a thread may be about to start a call.
      while (running_threads_ > 0) {
        for (auto& it : clients_) {
          it->stop();
        }
        thread_ended_.wait_for(lock, std::chrono::milliseconds(10));
      }
    }
    for (auto& it : threads_) {
      it.join();
    }
  }
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  bool Submit(Call call) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_ || queue_.size() >= max_queued_calls_) {
        return false;
      }
      queue_.push_back(std::move(call));
    }
    work_available_.notify_one();
    return true;
  }

 private:
  void Run(httplib::Client& client) {
    for (;;) {
      Call call;
      {
        std::unique_lock lock(mutex_);
        work_available_.wait(lock,
                             [&] { return stopping_ || !queue_.empty(); });
        if (stopping_) {
          return;
        }
        call = std::move(queue_.front());
        queue_.pop_front();
      }
      call(client);
    }
  }

  const size_t max_queued_calls_;
  std::mutex mutex_;
  std::condition_variable work_available_;
  std::condition_variable thread_ended_;
  // Guarded by mutex_.
  std::deque<Call> queue_;
  bool stopping_ = false;
  size_t running_threads_ = 0;
  std::vector<std::unique_ptr<httplib::Client>> clients_;
  std::vector<std::thread> threads_;
};

}  // namespace

struct HttpStoreClient::Impl {
  Impl(asio::io_context& context, const HttpStoreOptions& opts)
      : io(context), options(opts), calls(opts, 2), watches(opts, 1) {}

  // Runs `call` on a worker thread and posts its result to the io_context.
  // `Value` is the type of the second argument of `done`.
  template <typename Value, typename Call, typename Done>
  void Start(WorkerPool& pool, Call call, Done done) {
    auto shared = std::make_shared<Done>(std::move(done));
    const auto post = [this, shared](StoreStatus status, Value value) {
      asio::post(io, [shared, status, value = std::move(value)] {
        (*shared)(status, value);
      });
    };
    const bool queued =
        pool.Submit([post, call = std::move(call)](httplib::Client& client) {
          std::pair<StoreStatus, Value> result = call(client);
          post(result.first, std::move(result.second));
        });
    if (!queued) {
      post(StoreStatus::kUnavailable, Value());
    }
  }

  asio::io_context& io;
  const HttpStoreOptions options;
  WorkerPool calls;
  WorkerPool watches;
};

HttpStoreClient::HttpStoreClient(asio::io_context& io,
                                 const HttpStoreOptions& options)
    : impl_(std::make_shared<Impl>(io, options)) {}

HttpStoreClient::~HttpStoreClient() = default;

namespace {

std::string EncodePath(const std::string& text) {
  std::string result;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      result.push_back(c);
    } else {
      char buf[4];
      std::snprintf(buf, sizeof(buf), "%%%02X", byte);
      result += buf;
    }
  }
  return result;
}

std::string KeyPath(const std::string& key) {
  return "/v1/kv/" + EncodePath(key);
}

std::string ToMillisecondsText(Duration span) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

}  // namespace

control::StoreClient HttpStoreClient::Client() {
  const std::weak_ptr<Impl> weak = impl_;
  control::StoreClient result;
  result.read = [weak](const std::string& key, control::ReadCallback done) {
    if (const auto impl = weak.lock()) {
      impl->Start<StoreValue>(
          impl->calls,
          [path = KeyPath(key)](httplib::Client& client) {
            return ToStoreValue(client.Get(path));
          },
          std::move(done));
    } else {
      done(StoreStatus::kUnavailable, StoreValue());
    }
  };
  result.compare_and_swap = [weak](const std::string& key, uint64_t expected,
                                   std::string value,
                                   control::WriteCallback done) {
    if (const auto impl = weak.lock()) {
      impl->Start<uint64_t>(
          impl->calls,
          [path = KeyPath(key), expected,
           value = std::move(value)](httplib::Client& client) {
            const httplib::Headers headers = {
                {"x-expected-version", std::to_string(expected)}};
            const auto response =
                client.Put(path, headers, value, "application/octet-stream");
            return std::pair(
                ToStoreStatus(response),
                response ? HeaderNumber(*response, "x-version") : uint64_t{0});
          },
          std::move(done));
    } else {
      done(StoreStatus::kUnavailable, 0);
    }
  };
  result.acquire_lease = [weak](const std::string& name,
                                const std::string& holder, Duration ttl,
                                control::LeaseCallback done) {
    if (const auto impl = weak.lock()) {
      impl->Start<control::StoreLease>(
          impl->calls,
          [path = "/v1/leases/" + EncodePath(name), holder,
           ttl](httplib::Client& client) {
            const httplib::Headers headers = {
                {"x-holder", holder}, {"x-ttl-ms", ToMillisecondsText(ttl)}};
            const auto response = client.Post(path, headers, "", "text/plain");
            control::StoreLease lease;
            if (response) {
              lease = {HeaderNumber(*response, "x-fencing"), ttl};
            }
            return std::pair(ToStoreStatus(response), lease);
          },
          std::move(done));
    } else {
      done(StoreStatus::kUnavailable, control::StoreLease());
    }
  };
  result.watch = [weak](const std::string& key, uint64_t known,
                        Duration timeout, control::ReadCallback done) {
    if (const auto impl = weak.lock()) {
      impl->Start<StoreValue>(
          impl->watches,
          [path = KeyPath(key) + "?known=" + std::to_string(known) +
                  "&timeout-ms=" + ToMillisecondsText(timeout),
           limit =
               timeout + impl->options.watch_grace](httplib::Client& client) {
            client.set_read_timeout(ToMicroseconds(limit));
            return ToStoreValue(client.Get(path));
          },
          std::move(done));
    } else {
      done(StoreStatus::kUnavailable, StoreValue());
    }
  };
  return result;
}

}  // namespace marjoramhall::net

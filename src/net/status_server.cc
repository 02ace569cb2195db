// The server on cpp-httplib.
#include "src/net/status_server.h"

#include <chrono>
#include <thread>
#include <utility>

#include "src/net/http_library.h"

namespace marjoramhall::net {
namespace {

// Two, so that one caller that is slow to send its request holds up no other.
constexpr size_t kThreads = 2;
// A readiness check comes twice a second; a slower one has failed anyway.
constexpr auto kReadTimeout = std::chrono::milliseconds(500);

}  // namespace

struct StatusServer::Impl {
  Endpoint listen;
  httplib::Server server;
  std::thread thread;
};

StatusServer::StatusServer(Endpoint listen, std::vector<StatusRoute> routes)
    : impl_(std::make_unique<Impl>()) {
  impl_->listen = listen;
  httplib::Server& server = impl_->server;
  server.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server.set_keep_alive_max_count(1);
  server.set_read_timeout(kReadTimeout);
  server.set_write_timeout(kReadTimeout);
  for (StatusRoute& it : routes) {
    server.Get(it.path, [page = std::move(it.page)](
                            const httplib::Request& request,
                            httplib::Response& answer) {
      StatusPage content =
          page([&](const char* name) { return request.get_param_value(name); });
      answer.status = content.status;
      answer.set_content(content.text, "text/plain; version=0.0.4");
    });
  }
}

StatusServer::~StatusServer() {
  impl_->server.stop();
  if (impl_->thread.joinable()) {
    impl_->thread.join();
  }
}

std::string StatusServer::Open() {
  if (!impl_->server.bind_to_port(impl_->listen.address.ToString(),
                                  impl_->listen.port)) {
    return "cannot listen on " + impl_->listen.ToString();
  }
  impl_->thread = std::thread([this] { impl_->server.listen_after_bind(); });
  return "";
}

}  // namespace marjoramhall::net

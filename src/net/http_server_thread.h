// Runs a server of cpp-httplib on a thread of its own, so that it can be
// stopped at any time after its start.
#ifndef MARJORAMHALL_NET_HTTP_SERVER_THREAD_H_
#define MARJORAMHALL_NET_HTTP_SERVER_THREAD_H_

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "src/net/http_library.h"

namespace marjoramhall::net {

// Tests replace the type of the server.
template <typename Server>
class BasicHttpServerThread {
 public:
  BasicHttpServerThread() = default;
  ~BasicHttpServerThread() { Stop(); }
  BasicHttpServerThread(const BasicHttpServerThread&) = delete;
  BasicHttpServerThread& operator=(const BasicHttpServerThread&) = delete;

  // Starts the thread. The server has bound its address, and lives until Stop()
  // has returned. Returns an empty string when the server runs, or an error if
  // it has ended instead. To be called once.
  std::string Start(Server& server) {
    server_ = &server;
    thread_ = std::thread([this] {
      server_->listen_after_bind();
      ended_ = true;
    });
    // stop() has no effect on a server that does not run yet, and would leave
    // the thread in accept(). Its first step is to run, so one of the two comes
    // as soon as the system runs it, however late that is.
    while (!server_->is_running()) {
      if (ended_) {
        thread_.join();
        return "the HTTP server ended at its start";
      }
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    return "";
  }

  // Stops the server and joins the thread, if there is one.
  void Stop() {
    if (thread_.joinable()) {
      server_->stop();
      thread_.join();
    }
  }

 private:
  Server* server_ = nullptr;
  std::atomic<bool> ended_{false};
  std::thread thread_;
};

using HttpServerThread = BasicHttpServerThread<httplib::Server>;

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_HTTP_SERVER_THREAD_H_

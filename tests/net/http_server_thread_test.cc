// Guards against a server that hangs when it is stopped early, and against a
// start that waits for a server that has ended. Plays servers whose threads
// start late or end at once.
#include "src/net/http_server_thread.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

namespace marjoramhall::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Like the library's server: stop() has no effect unless the server runs.
class FakeServer {
 public:
  // Runs after `start_delay`, until it is stopped.
  explicit FakeServer(milliseconds start_delay) : start_delay_(start_delay) {}

  bool listen_after_bind() {
    std::this_thread::sleep_for(start_delay_);
    running_ = true;
    stopped_.get_future().wait();
    running_ = false;
    return true;
  }
  bool is_running() const { return running_; }
  void stop() {
    if (running_) {
      stopped_.set_value();
    }
  }

 private:
  const milliseconds start_delay_;
  std::atomic<bool> running_{false};
  std::promise<void> stopped_;
};

// Ends before it runs.
class EndingServer {
 public:
  bool listen_after_bind() {
    std::this_thread::sleep_for(milliseconds(20));
    return false;
  }
  bool is_running() const { return false; }
  void stop() {}
};

TEST(HttpServerThreadTest, WaitsForAServerThatStartsLate) {
  // Longer than any deadline that a start may be given; it had one of 5 s.
  for (const milliseconds delay :
       {milliseconds(0), milliseconds(50), milliseconds(6000)}) {
    FakeServer server(delay);
    BasicHttpServerThread<FakeServer> thread;
    ASSERT_EQ(thread.Start(server), "");
    EXPECT_TRUE(server.is_running());
    thread.Stop();
    EXPECT_FALSE(server.is_running());
    thread.Stop();
  }
}

TEST(HttpServerThreadTest, ReportsAServerThatEndsBeforeItRuns) {
  EndingServer server;
  BasicHttpServerThread<EndingServer> thread;
  EXPECT_EQ(thread.Start(server), "the HTTP server ended at its start");
  thread.Stop();
}

TEST(HttpServerThreadTest, EndsWithoutAStart) {
  HttpServerThread thread;
  thread.Stop();
}

}  // namespace
}  // namespace marjoramhall::net

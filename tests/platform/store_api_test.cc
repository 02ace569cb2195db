// Guards against a client that misinterprets listings, watches, compacted
// history or a store that does not respond.
#include "platform/store_api.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <set>
#include <thread>

#include "platform/standin/store.h"

namespace marjoramhall::platform {
namespace {

using discovery::ReadStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kAnyPort{IpAddress::FromV4(0x7f000001), 0};

discovery::TargetRecord MakeRecord(uint64_t instance) {
  discovery::TargetRecord record;
  record.id = "i-" + std::to_string(instance);
  record.service = "s";
  record.address = {IpAddress::FromV4(0x0a000001), 80};
  return record;
}

class StoreApiTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(store_.Open(kAnyPort), "");
    StoreApiOptions options;
    options.address = store_.local_endpoint();
    api_ = std::make_unique<StoreApi>(options);
  }

  StandInStore store_;
  std::unique_ptr<StoreApi> api_;
};

TEST(SilentStoreTest, EndsACallInTimeDespiteSignals) {
  // Signals that stop, continue or reload the process interrupt a call. A call
  // on a silent connection could then take much longer than its timeout, and
  // the view would stay outdated.
  asio::io_context io;
  asio::ip::tcp::acceptor silent(io,
                                 {asio::ip::make_address_v4("127.0.0.1"), 0});
  StoreApiOptions options;
  options.address = {kAnyPort.address, silent.local_endpoint().port()};
  options.watch_timeout_margin = milliseconds(300);
  StoreApi api(options);
  struct sigaction interrupt {};
  interrupt.sa_handler = [](int) {};
  sigaction(SIGUSR1, &interrupt, nullptr);
  std::atomic<bool> ended{false};
  ReadStatus status = ReadStatus::kOk;
  std::thread caller([&] {
    status = api.Watch(1, milliseconds(300)).status;
    ended = true;
  });
  // The call may take 0.6 s and the connection 0.25 s. The rest allows for a
  // busy machine.
  const auto test_deadline = std::chrono::steady_clock::now() + seconds(5);
  while (!ended && std::chrono::steady_clock::now() < test_deadline) {
    std::this_thread::sleep_for(milliseconds(100));
    pthread_kill(caller.native_handle(), SIGUSR1);
    api.EndOverdueCall();
  }
  EXPECT_TRUE(ended);
  caller.join();
  EXPECT_EQ(status, ReadStatus::kNoAnswer);
}

// Returns the result of a listing when the store responds with `body`.
discovery::StoreRead ListFromBody(const std::string& body,
                                  bool may_be_old = false,
                                  std::string* request_line = nullptr,
                                  const std::string& headers = "") {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io,
                                   {asio::ip::make_address_v4("127.0.0.1"), 0});
  std::thread server([&] {
    asio::ip::tcp::socket socket = acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    if (request_line != nullptr) {
      *request_line = request.substr(0, request.find("\r\n"));
    }
    asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n" +
                                     headers + "\r\n" + body));
  });
  StoreApiOptions options;
  options.address = {kAnyPort.address, acceptor.local_endpoint().port()};
  auto read = StoreApi(options).List("", may_be_old, seconds(5));
  server.join();
  return read;
}

TEST(StoreResponseTest, DistinguishesUnreadableFromMissingResponse) {
  for (const char* body : {"", "[]", "{}", "no JSON", R"({"items":[]})",
                           R"({"items":{},"store_revision":4})"}) {
    EXPECT_EQ(ListFromBody(body).status, ReadStatus::kUnreadable) << body;
  }
}

TEST(StoreResponseTest, AsksForAnOldListingOnlyWhenToldTo) {
  std::string request;
  ListFromBody("{}", true, &request);
  EXPECT_EQ(request, "GET /v1/kv-range?prefix=&stale_ok=1 HTTP/1.1");
  ListFromBody("{}", false, &request);
  EXPECT_EQ(request, "GET /v1/kv-range?prefix= HTTP/1.1");
}

TEST(StoreResponseTest, ReadsTheEpochOfTheStore) {
  const auto list = [](const std::string& headers) {
    return ListFromBody(R"({"items":[],"store_revision":4})", false, nullptr,
                        headers);
  };
  EXPECT_EQ(list("Store-Era: 3\r\n").position, StorePosition(3, 4));
  EXPECT_EQ(list("").position, StorePosition(0, 4));
  EXPECT_EQ(list("Store-Era: later\r\n").status, ReadStatus::kUnreadable);
}

TEST(StoreResponseTest, ReportsInvalidItemsAndKeepsTheOthers) {
  const auto read = ListFromBody(
      R"({"store_revision":9,"items":[7,{"revision":3},)"
      R"({"key":"other/x","revision":4,"value":"AA=="},)"
      R"({"key":"servers/i-1","revision":5,"value":"*not base64*"}]})");
  ASSERT_EQ(read.status, ReadStatus::kOk);
  ASSERT_EQ(read.changes.size(), 4U);
  EXPECT_NE(read.changes[0].error, "");
  EXPECT_NE(read.changes[1].error, "");
  EXPECT_EQ(read.changes[2].error, "");
  EXPECT_EQ(read.changes[3].key, "servers/i-1");
  EXPECT_NE(read.changes[3].error, "");
  EXPECT_EQ(read.last_key, "servers/i-1");
}

TEST_F(StoreApiTest, ListsAllPages) {
  for (uint64_t i = 10; i < 30; ++i) {
    store_.PutTarget(MakeRecord(i));
  }
  std::set<std::string> keys;
  std::string after;
  for (int pages = 0; pages < 10; ++pages) {
    const auto page = api_->List(after, false, seconds(1));
    ASSERT_EQ(page.status, ReadStatus::kOk);
    for (const auto& it : page.changes) {
      EXPECT_TRUE(it.target) << it.error;
      keys.insert(it.key);
    }
    after = page.last_key;
    if (!page.has_more) {
      break;
    }
  }
  EXPECT_EQ(keys.size(), 20U);
}

TEST_F(StoreApiTest, WatchReturnsWritesAndRemovals) {
  const uint64_t start = api_->List("", false, seconds(1)).position.revision;
  store_.PutTarget(MakeRecord(7));
  store_.RemoveTarget("i-7");
  const auto read = api_->Watch(start, seconds(1));
  ASSERT_EQ(read.status, ReadStatus::kOk);
  ASSERT_EQ(read.changes.size(), 2U);
  EXPECT_TRUE(read.changes[0].target);
  EXPECT_TRUE(read.changes[1].removed);
  EXPECT_EQ(read.position.revision, start + 2);
  EXPECT_EQ(
      api_->Watch(read.position.revision, milliseconds(50)).changes.size(), 0U);
}

TEST_F(StoreApiTest, AWatchDecodesOnlyTheNewestConfiguration) {
  const uint64_t start = api_->List("", false, seconds(1)).position.revision;
  for (uint64_t i = 1; i <= 5; ++i) {
    discovery::ConfigRecord config;
    config.version = i;
    store_.PutConfig(config);
    store_.PutTarget(MakeRecord(i));
  }
  const auto read = api_->Watch(start, seconds(1));
  ASSERT_EQ(read.status, ReadStatus::kOk);
  std::vector<uint64_t> versions;
  size_t targets = 0;
  for (const auto& it : read.changes) {
    targets += it.target ? 1 : 0;
    if (it.config) {
      versions.push_back(it.config->version);
    }
  }
  EXPECT_EQ(targets, 5U);
  EXPECT_EQ(versions, std::vector<uint64_t>{5});
}

TEST_F(StoreApiTest, DistinguishesCompactedHistoryRefusalAndSilence) {
  const uint64_t start = api_->List("", false, seconds(1)).position.revision;
  store_.PutTarget(MakeRecord(7));
  store_.Compact();
  EXPECT_EQ(api_->Watch(start, milliseconds(50)).status,
            ReadStatus::kHistoryGone);
  store_.SetRefusing(true);
  EXPECT_EQ(api_->List("", false, seconds(1)).status, ReadStatus::kRefused);
  StoreApiOptions options;
  options.address = {IpAddress::FromV4(0x7f000001), 1};
  EXPECT_EQ(StoreApi(options).List("", false, seconds(1)).status,
            ReadStatus::kNoAnswer);
}

TEST_F(StoreApiTest, ReturnsAnUnreadableEntryWithItsError) {
  store_.PutRaw("i-9", std::string("\xff\x00\x01", 3));
  const auto page = api_->List("", false, seconds(1));
  ASSERT_EQ(page.changes.size(), 1U);
  EXPECT_FALSE(page.changes[0].target);
  EXPECT_FALSE(page.changes[0].error.empty());
}

}  // namespace
}  // namespace marjoramhall::platform

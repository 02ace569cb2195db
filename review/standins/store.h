// Stand-in for the platform's metadata store: listings and watches over
// HTTP/1.1. The tests write to it by direct calls, as the operator and the
// servers do.
#ifndef MARJORAMHALL_REVIEW_STANDINS_STORE_H_
#define MARJORAMHALL_REVIEW_STANDINS_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "loop.h"

namespace marjoramhall::review {

class Store {
 public:
  explicit Store(Loop& loop) : loop_(loop) {}
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Listens on a free port of a loopback address. Returns false on failure.
  bool Open(uint32_t address);
  uint16_t port() const { return port_; }

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Returns "" if there is no such key.
  std::string ValueOf(const std::string& key) const;

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
  };
  struct Event {
    std::string key;
    uint64_t revision = 0;
    bool removed = false;
    std::string value;
  };
  struct Connection {
    std::string received;
    bool is_watching = false;
    uint64_t watch_after = 0;
    std::string watch_prefix;
    uint64_t watch_number = 0;  // tells a timer whether the watch goes on
  };

  void Accept();
  void Receive(int fd);
  void Answer(int fd, const std::string& target);
  void AnswerWatch(int fd);
  void AnswerWatches();
  static void Send(int fd, int status, const std::string& body);
  static std::string ToJson(const Event& event);

  Loop& loop_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::map<int, Connection> connections_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  uint64_t revision_ = 100;
  uint64_t next_watch_ = 1;
};

}  // namespace marjoramhall::review

#endif  // MARJORAMHALL_REVIEW_STANDINS_STORE_H_

// Stand-in for the platform's store: listings and watches over HTTP/1.1. Writes
// come from the caller, as the operator, the servers and other writers make
// them. Used on one thread: Step() does all the work that is due.
#ifndef REVIEW_STANDINS_2_STORE_H_
#define REVIEW_STANDINS_2_STORE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "support.h"

namespace review {

class Store {
 public:
  Store() = default;
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  bool Open(uint32_t ip);
  const Address& address() const { return address_; }

  // Returns the revision of the write.
  uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Writes the entry of a server. It does not change if only its count of
  // reports differs: `value` without that count is `content`.
  void PutServer(const std::string& key,
                 const std::string& content,
                 const std::string& value);

  void Step();
  // Appends the descriptors that Step() waits for.
  void AppendSockets(std::vector<int>* sockets) const;

  uint64_t revision() const { return revision_; }
  uint64_t calls() const { return calls_; }

 private:
  struct Item {
    std::string encoded;  // in base64
    uint64_t revision = 0;
    std::string content;  // see PutServer()
  };
  struct Event {
    std::string json;
    uint64_t revision = 0;
  };
  struct Connection {
    int fd = -1;
    std::string in;
    std::string out;
    size_t sent = 0;
    bool is_waiting = false;  // in a watch
    uint64_t watch_after = 0;
    double watch_until_ms = 0;
    bool is_closed = false;
  };

  void Accept();
  void Receive(Connection& it);
  void Send(Connection& it);
  void OnRequest(Connection& it, const std::string& target);
  void AnswerListing(Connection& it, const std::string& after);
  // Answers a watch if there are events or its time is over.
  void TryWatch(Connection& it);
  static void Respond(Connection& it, int status, const std::string& body);
  void AddEvent(std::string json);

  int listener_ = -1;
  Address address_;
  std::list<Connection> connections_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  uint64_t revision_ = 100;
  uint64_t calls_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_STORE_H_

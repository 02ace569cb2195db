// The calls of the store's protocol that the VMs make.
#include "store.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>

namespace review {
namespace {

// Limits of a page.
constexpr size_t kMaxPageItems = 500;
constexpr size_t kMaxPageBytes = 1 << 20;
constexpr size_t kMaxHistory = 4000;

// Value of a query parameter, with percent-encoded bytes decoded.
std::string Parameter(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t start = at + 1;
    at = target.find('&', start);
    const std::string part = target.substr(
        start, at == std::string::npos ? std::string::npos : at - start);
    if (!part.starts_with(name + "=")) {
      continue;
    }
    std::string value;
    for (size_t i = name.size() + 1; i < part.size(); ++i) {
      if (part[i] == '%' && i + 2 < part.size()) {
        value += static_cast<char>(
            std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        value += part[i];
      }
    }
    return value;
  }
  return "";
}

uint64_t NumberParameter(const std::string& target, const std::string& name) {
  return std::strtoull(Parameter(target, name).c_str(), nullptr, 10);
}

std::string ItemJson(const std::string& key,
                     const std::string& encoded,
                     uint64_t revision) {
  const std::string number = std::to_string(revision);
  return R"({"key":")" + key + R"(","value":")" + encoded + R"(","revision":)" +
         number + R"(,"created":)" + number + R"(,"lease":0})";
}

}  // namespace

Store::~Store() {
  for (const Connection& it : connections_) {
    close(it.fd);
  }
  if (listener_ >= 0) {
    close(listener_);
  }
}

bool Store::Open(uint32_t ip) {
  listener_ = ListenTcp({ip, 0});
  if (listener_ < 0) {
    return false;
  }
  address_ = {ip, PortOf(listener_)};
  return true;
}

uint64_t Store::Put(const std::string& key, const std::string& value) {
  Item& item = items_[key];
  item = {EncodeBase64(value), ++revision_, ""};
  AddEvent(ItemJson(key, item.encoded, revision_));
  return revision_;
}

void Store::PutServer(const std::string& key,
                      const std::string& content,
                      const std::string& value) {
  const auto it = items_.find(key);
  if (it == items_.end() || it->second.content != content) {
    Put(key, value);
    items_[key].content = content;
  }
}

void Store::Remove(const std::string& key) {
  if (items_.erase(key) > 0) {
    ++revision_;
    AddEvent(R"({"key":")" + key + R"(","revision":)" +
             std::to_string(revision_) + R"(,"removed":true})");
  }
}

void Store::AddEvent(std::string json) {
  history_.push_back({std::move(json), revision_});
  if (history_.size() > kMaxHistory) {
    history_.pop_front();
  }
}

void Store::AppendSockets(std::vector<int>* sockets) const {
  sockets->push_back(listener_);
  for (const Connection& it : connections_) {
    sockets->push_back(it.fd);
  }
}

void Store::Step() {
  Accept();
  for (auto it = connections_.begin(); it != connections_.end();) {
    Receive(*it);
    if (it->is_waiting) {
      TryWatch(*it);
    }
    Send(*it);
    if (it->is_closed) {
      close(it->fd);
      it = connections_.erase(it);
    } else {
      ++it;
    }
  }
}

void Store::Accept() {
  for (;;) {
    const int fd =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    connections_.emplace_back().fd = fd;
  }
}

void Store::Receive(Connection& it) {
  std::array<char, 4096> buf{};
  for (;;) {
    const ssize_t n = recv(it.fd, buf.data(), buf.size(), 0);
    if (n > 0) {
      it.in.append(buf.data(), static_cast<size_t>(n));
      continue;
    }
    it.is_closed |= n == 0 || (errno != EAGAIN && errno != EINTR);
    break;
  }
  const size_t end = it.in.find("\r\n\r\n");
  if (end == std::string::npos || it.is_waiting || !it.out.empty()) {
    return;
  }
  const size_t start = it.in.find(' ') + 1;
  const std::string target =
      it.in.substr(start, it.in.find(' ', start) - start);
  it.in.erase(0, end + 4);
  OnRequest(it, target);
}

void Store::OnRequest(Connection& it, const std::string& target) {
  ++calls_;
  if (target.starts_with("/v1/kv-range?")) {
    AnswerListing(it, Parameter(target, "after"));
  } else if (target.starts_with("/v1/kv-watch?")) {
    it.is_waiting = true;
    it.watch_after = NumberParameter(target, "after");
    it.watch_until_ms =
        NowMs() + static_cast<double>(NumberParameter(target, "wait_ms"));
  } else {
    Respond(it, 404, "{}");
  }
}

void Store::AnswerListing(Connection& it, const std::string& after) {
  std::string list;
  size_t n = 0;
  auto item = items_.upper_bound(after);
  for (; item != items_.end() && n < kMaxPageItems &&
         (n == 0 || list.size() < kMaxPageBytes);
       ++item, ++n) {
    list += n == 0 ? "" : ",";
    list += ItemJson(item->first, item->second.encoded, item->second.revision);
  }
  Respond(it, 200,
          R"({"items":[)" + list + R"(],"has_more":)" +
              (item == items_.end() ? "false" : "true") +
              R"(,"store_revision":)" + std::to_string(revision_) + "}");
}

void Store::TryWatch(Connection& it) {
  if (revision_ <= it.watch_after && NowMs() < it.watch_until_ms) {
    return;
  }
  it.is_waiting = false;
  if (!history_.empty() && it.watch_after + 1 < history_.front().revision &&
      history_.size() >= kMaxHistory) {
    Respond(it, 410, "{}");
    return;
  }
  std::string list;
  for (const Event& event : history_) {
    if (event.revision > it.watch_after) {
      list += list.empty() ? "" : ",";
      list += event.json;
    }
  }
  Respond(it, 200,
          R"({"events":[)" + list + R"(],"store_revision":)" +
              std::to_string(revision_) + "}");
}

void Store::Respond(Connection& it, int status, const std::string& body) {
  it.out = "HTTP/1.1 " + std::to_string(status) +
           (status == 200 ? " OK" : " Error") +
           "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  it.sent = 0;
}

void Store::Send(Connection& it) {
  while (it.sent < it.out.size()) {
    const ssize_t n = send(it.fd, it.out.data() + it.sent,
                           it.out.size() - it.sent, MSG_NOSIGNAL);
    if (n <= 0) {
      it.is_closed |= errno != EAGAIN && errno != EINTR;
      return;
    }
    it.sent += static_cast<size_t>(n);
  }
  it.out.clear();
  it.sent = 0;
}

}  // namespace review

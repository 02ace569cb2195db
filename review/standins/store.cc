// The store's HTTP server.
#include "store.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace marjoramhall::review {
namespace {

constexpr size_t kItemsPerPage = 500;

std::string EncodeBase64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = (group << 8) |
              (i + k < bytes.size() ? static_cast<uint8_t>(bytes[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      text +=
          i + k > bytes.size() ? '=' : kDigits[(group >> (18 - 6 * k)) & 63];
    }
  }
  return text;
}

// Returns the value of a query parameter without decoding, or "".
std::string Parameter(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  if (query == std::string::npos) {
    return "";
  }
  const std::string text = "&" + target.substr(query + 1) + "&";
  const size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const size_t begin = at + name.size() + 2;
  return text.substr(begin, text.find('&', begin) - begin);
}

}  // namespace

Store::~Store() {
  for (const auto& [fd, connection] : connections_) {
    close(fd);
  }
  if (listener_ >= 0) {
    close(listener_);
  }
}

bool Store::Open(uint32_t address) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_addr.s_addr = htonl(address);
  socklen_t length = sizeof(local);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&local), length) != 0 ||
      listen(listener_, 64) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&local), &length) !=
          0) {
    return false;
  }
  port_ = ntohs(local.sin_port);
  loop_.Watch(listener_, [this] { Accept(); });
  return true;
}

void Store::Accept() {
  const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
  if (fd >= 0) {
    connections_[fd] = {};
    loop_.Watch(fd, [this, fd] { Receive(fd); });
  }
}

void Store::Receive(int fd) {
  char buf[4096];
  const ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
  if (n <= 0) {
    loop_.Unwatch(fd);
    connections_.erase(fd);
    close(fd);
    return;
  }
  std::string& received = connections_[fd].received;
  received.append(buf, static_cast<size_t>(n));
  const size_t end = received.find("\r\n\r\n");
  if (end == std::string::npos) {
    return;
  }
  const size_t begin = received.find(' ') + 1;
  const std::string target =
      received.substr(begin, received.find(' ', begin) - begin);
  received.erase(0, end + 4);
  Answer(fd, target);
}

void Store::Answer(int fd, const std::string& target) {
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = Parameter(target, "prefix");
  if (path == "/v1/kv-watch") {
    Connection& it = connections_[fd];
    it.is_watching = true;
    it.watch_after =
        std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
    it.watch_prefix = prefix;
    it.watch_number = next_watch_++;
    const long wait_ms =
        std::strtol(Parameter(target, "wait_ms").c_str(), nullptr, 10);
    if (revision_ > it.watch_after || wait_ms == 0) {
      AnswerWatch(fd);
      return;
    }
    loop_.After(std::chrono::milliseconds(wait_ms), [this, fd,
                                                     number = it.watch_number] {
      const auto found = connections_.find(fd);
      if (found != connections_.end() && found->second.is_watching &&
          found->second.watch_number == number) {
        AnswerWatch(fd);
      }
    });
    return;
  }
  if (path != "/v1/kv-range") {
    Send(fd, 404, "{}");
    return;
  }
  std::string items;
  size_t n = 0;
  bool has_more = false;
  for (auto it = items_.upper_bound(Parameter(target, "after"));
       it != items_.end(); ++it) {
    if (!it->first.starts_with(prefix)) {
      continue;
    }
    if (n == kItemsPerPage) {
      has_more = true;
      break;
    }
    items += (n++ > 0 ? "," : "") +
             ToJson({it->first, it->second.revision, false, it->second.value});
  }
  Send(fd, 200,
       "{\"items\":[" + items +
           "],\"has_more\":" + (has_more ? "true" : "false") +
           ",\"store_revision\":" + std::to_string(revision_) + "}");
}

void Store::AnswerWatch(int fd) {
  Connection& it = connections_[fd];
  it.is_watching = false;
  std::string events;
  for (const Event& event : events_) {
    if (event.revision > it.watch_after &&
        event.key.starts_with(it.watch_prefix)) {
      events += (events.empty() ? "" : ",") + ToJson(event);
    }
  }
  Send(fd, 200,
       "{\"events\":[" + events +
           "],\"store_revision\":" + std::to_string(revision_) + "}");
}

void Store::AnswerWatches() {
  for (auto& [fd, connection] : connections_) {
    if (connection.is_watching) {
      AnswerWatch(fd);
    }
  }
}

std::string Store::ToJson(const Event& event) {
  std::string text = "{\"key\":\"" + event.key +
                     "\",\"revision\":" + std::to_string(event.revision);
  if (event.removed) {
    return text + ",\"removed\":true}";
  }
  return text + ",\"value\":\"" + EncodeBase64(event.value) + "\"}";
}

void Store::Send(int fd, int status, const std::string& body) {
  const std::string text =
      "HTTP/1.1 " + std::to_string(status) +
      (status == 200 ? " OK" : " Not Found") +
      "\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  // A connection that fails is closed when it is read next.
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return;
    }
    sent += static_cast<size_t>(n);
  }
}

void Store::Put(const std::string& key, const std::string& value) {
  items_[key] = {value, ++revision_};
  events_.push_back({key, revision_, false, value});
  AnswerWatches();
}

std::string Store::ValueOf(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? "" : it->second.value;
}

void Store::Remove(const std::string& key) {
  if (items_.erase(key) > 0) {
    events_.push_back({key, ++revision_, true, ""});
    AnswerWatches();
  }
}

}  // namespace marjoramhall::review

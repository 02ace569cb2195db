// HTTP over sockets that do not block.
#include "readiness.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string_view>

namespace review {
namespace {

constexpr double kIntervalMs = 500;
constexpr double kLimitMs = 100;
constexpr int kMissesUntilOut = 2;

}  // namespace

Readiness::~Readiness() {
  for (const Check& it : checks_) {
    if (it.fd >= 0) {
      close(it.fd);
    }
  }
}

void Readiness::Begin(const Vm& vm, Check& check) const {
  check.next_ms += kIntervalMs;
  check.limit_ms = NowMs() + kLimitMs;
  check.is_sent = false;
  check.fd = ConnectTcp(vm.readiness);
}

void Readiness::End(Vm& vm, Check& check, bool is_ready) {
  if (check.fd >= 0) {
    close(check.fd);
    check.fd = -1;
  }
  vm.missed_checks = is_ready ? 0 : vm.missed_checks + 1;
  const bool was_in_rotation = vm.in_rotation;
  vm.in_rotation =
      is_ready || (vm.in_rotation && vm.missed_checks < kMissesUntilOut);
  if (vm.in_rotation != was_in_rotation) {
    const double now = NowMs();
    ++changes_;
    close_changes_ +=
        now - last_change_ms_ >= 20 && now - last_change_ms_ <= 200 ? 1 : 0;
    last_change_ms_ = now;
  }
}

void Readiness::Step() {
  const double now = NowMs();
  std::vector<Vm>& vms = vms_.all();
  while (checks_.size() < vms.size()) {
    Check check;
    check.next_ms =
        now + std::uniform_real_distribution<double>(0, kIntervalMs)(random_);
    checks_.push_back(check);
  }
  for (size_t i = 0; i < vms.size(); ++i) {
    Check& check = checks_[i];
    if (check.fd < 0) {
      if (now < check.next_ms) {
        continue;
      }
      Begin(vms[i], check);
      if (check.fd < 0) {
        End(vms[i], check, false);
        continue;
      }
    }
    if (!check.is_sent) {
      constexpr std::string_view kRequest =
          "GET /v1/readyz HTTP/1.1\r\nHost: vm\r\n\r\n";
      check.is_sent = send(check.fd, kRequest.data(), kRequest.size(),
                           MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
      if (!check.is_sent && errno != EAGAIN && errno != ENOTCONN) {
        End(vms[i], check, false);
        continue;
      }
    }
    std::array<char, 256> buf{};
    const ssize_t n = check.is_sent
                          ? recv(check.fd, buf.data(), buf.size(), MSG_DONTWAIT)
                          : -1;
    if (n >= 0 || (check.is_sent && errno != EAGAIN)) {
      const std::string_view answer(buf.data(),
                                    n > 0 ? static_cast<size_t>(n) : 0);
      End(vms[i], check, answer.starts_with("HTTP/1.1 200"));
    } else if (now >= check.limit_ms) {
      End(vms[i], check, false);
    }
  }
}

}  // namespace review

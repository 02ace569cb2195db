// A loopback TCP proxy that injects connection faults.
#ifndef MARJORAMHALL_LAB_SOAK_PROXY_H_
#define MARJORAMHALL_LAB_SOAK_PROXY_H_

#include <memory>
#include <span>
#include <string>

#include "src/base/endpoint.h"
#include "src/base/enum_names.h"

namespace marjoramhall::lab {

enum class ProxyMode {
  kPass,
  kDelay,   // Delays answers by 300 ms.
  kSilent,  // Drops all bytes in both directions; connections stay open.
  kOneWay,  // Forwards requests and drops answers.
  kReset,   // Resets open connections, and new ones on accept.
};
inline constexpr EnumName<ProxyMode> kProxyModeNames[] = {
    {ProxyMode::kPass, "pass"},     {ProxyMode::kDelay, "delay"},
    {ProxyMode::kSilent, "silent"}, {ProxyMode::kOneWay, "one-way"},
    {ProxyMode::kReset, "reset"},
};
constexpr std::span<const EnumName<ProxyMode>> NamesOf(ProxyMode) {
  return kProxyModeNames;
}

// Runs on its own thread, from Open() until destruction.
class SoakProxy {
 public:
  SoakProxy(Endpoint listen, Endpoint upstream);
  ~SoakProxy();
  SoakProxy(const SoakProxy&) = delete;
  SoakProxy& operator=(const SoakProxy&) = delete;

  // Starts listening. Returns an error that names the address, or an empty
  // string.
  std::string Open();
  Endpoint local_endpoint() const;
  // Applies to open connections too. A connection that has dropped bytes
  // forwards nothing afterwards, since its stream has a gap. Thread-safe.
  void SetMode(ProxyMode mode);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_SOAK_PROXY_H_

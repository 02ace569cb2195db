// A loopback TCP proxy that misbehaves on demand.
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
  kDelay,   // answers come 300 ms late
  kSilent,  // bytes in both directions vanish, connections stay open
  kOneWay,  // requests arrive, answers vanish
  kReset,   // open connections are reset and new ones closed at once
};
inline constexpr EnumName<ProxyMode> kProxyModeNames[] = {
    {ProxyMode::kPass, "pass"},     {ProxyMode::kDelay, "delay"},
    {ProxyMode::kSilent, "silent"}, {ProxyMode::kOneWay, "one-way"},
    {ProxyMode::kReset, "reset"},
};
constexpr std::span<const EnumName<ProxyMode>> NamesOf(ProxyMode) {
  return kProxyModeNames;
}

// Runs on a thread of its own.
class SoakProxy {
 public:
  SoakProxy(Endpoint listen, Endpoint upstream);
  ~SoakProxy();
  SoakProxy(const SoakProxy&) = delete;
  SoakProxy& operator=(const SoakProxy&) = delete;

  // Returns an error that names the address, or an empty string.
  std::string Open();
  Endpoint local_endpoint() const;
  // Holds for open connections too. Bytes that vanished stay lost: such a
  // connection never works again.
  void SetMode(ProxyMode mode);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_SOAK_PROXY_H_

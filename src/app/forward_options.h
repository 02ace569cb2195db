// Options of the parts of `marjoramhall forward`, from its settings.
#ifndef MARJORAMHALL_APP_FORWARD_OPTIONS_H_
#define MARJORAMHALL_APP_FORWARD_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "src/base/endpoint.h"
#include "src/discovery/target_registry.h"
#include "src/net/packet_path.h"
#include "src/net/peer_announcer.h"
#include "src/observe/decision_log.h"
#include "src/settings/settings.h"

namespace marjoramhall::app {

observe::DecisionLogOptions LogOptionsFor(const settings::Settings& settings);
net::PacketPathOptions PathOptionsFor(const settings::Settings& settings);
net::PeerAnnouncerOptions PeerAnnouncerOptionsFor(
    const settings::Settings& settings);
discovery::RegistryOptions RegistryOptionsFor(
    const settings::Settings& settings);

// A seed that differs between VMs and starts.
uint64_t RandomSeed();

// Parses a URL such as "http://127.0.0.1:7000".
std::optional<Endpoint> ParseStoreUrl(std::string_view url);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_FORWARD_OPTIONS_H_

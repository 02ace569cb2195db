// Conversion of settings to options.
#include "src/app/forward_options.h"

#include <random>

namespace marjoramhall::app {
namespace {

// Queue of the log, in lines of about 400 bytes.
constexpr size_t kLogQueueLines = 512;

constexpr double kBitsPerByte = 8;

}  // namespace

uint64_t RandomSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

observe::DecisionLogOptions LogOptionsFor(const settings::Settings& settings) {
  observe::DecisionLogOptions options;
  options.vm = settings.vm.name;
  options.path = settings.log.path;
  options.standard_output = true;
  options.level = settings.log.level;
  options.decisions = settings.log.decisions;
  options.queue_lines = kLogQueueLines;
  return options;
}

net::PacketPathOptions PathOptionsFor(const settings::Settings& settings) {
  net::PacketPathOptions options;
  options.listen = settings.forward.listen;
  options.client_port = settings.forward.listen.port;
  options.forwarder.seed = RandomSeed();
  options.forwarder.bulk.link_bytes_per_second =
      static_cast<double>(settings.forward.link_rate) / kBitsPerByte;
  options.forwarder.warm_up.overshoot = settings.forward.warm_up_overshoot;
  options.forwarder.warm_up.slack = settings.forward.warm_up_slack;
  return options;
}

net::PeerAnnouncerOptions PeerAnnouncerOptionsFor(
    const settings::Settings& settings) {
  net::PeerAnnouncerOptions options;
  options.listen = settings.forward.announce;
  options.snapshot_port = settings.forward.peers.port;
  options.seeds = settings.forward.seeds;
  return options;
}

discovery::RegistryOptions RegistryOptionsFor(
    const settings::Settings& settings) {
  discovery::RegistryOptions options;
  options.failure_domain = settings.vm.failure_domain;
  return options;
}

// Parses a URL such as "http://127.0.0.1:7000".
std::optional<Endpoint> ParseStoreUrl(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) {
    return std::nullopt;
  }
  return Endpoint::Parse(url.substr(kScheme.size()));
}

}  // namespace marjoramhall::app

// How the planes of one VM exchange messages with the same plane of a peer. The
// control plane's transport carries, authenticates, counts and paces them.
#ifndef MARJORAMHALL_BASE_PEER_CHANNEL_H_
#define MARJORAMHALL_BASE_PEER_CHANNEL_H_

#include <functional>
#include <span>
#include <string>

#include "src/base/enum_names.h"
#include "src/base/ids.h"

namespace marjoramhall {

enum class PeerChannel : uint8_t {
  kMembership = 1,
  kConfig = 2,
  kFlow = 3,
  kRequest = 4,
};

inline constexpr EnumName<PeerChannel> kPeerChannelNames[] = {
    {PeerChannel::kMembership, "membership"},
    {PeerChannel::kConfig, "config"},
    {PeerChannel::kFlow, "flow"},
    {PeerChannel::kRequest, "request"},
};
constexpr std::span<const EnumName<PeerChannel>> NamesOf(PeerChannel) {
  return kPeerChannelNames;
}

// Sends serialized protobuf bytes to the same channel of a peer. Delivery is
// best effort: messages may be lost, repeated, delayed or reordered, and the
// sender gets no error. Safe to call from any thread; never blocks.
using SendToPeer =
    std::function<void(VmId peer, PeerChannel channel, std::string payload)>;

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_PEER_CHANNEL_H_

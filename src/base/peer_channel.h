// Channels on which a plane of one VM exchanges messages with the same plane of
// a peer VM. The transport of the control plane delivers, authenticates, counts
// and rate-limits the messages.
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

// Sends a serialized protobuf message to the same channel of a peer. Delivery
// is best effort: messages may be lost, duplicated, delayed or reordered, and
// the sender gets no error. Never blocks. Thread-safe.
using SendToPeer =
    std::function<void(VmId peer, PeerChannel channel, std::string payload)>;

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_PEER_CHANNEL_H_

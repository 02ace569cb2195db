// Idempotency keys, their ranges, and conversions to protocol messages.
#ifndef MARJORAMHALL_REQUEST_KEY_NAME_H_
#define MARJORAMHALL_REQUEST_KEY_NAME_H_

#include <compare>
#include <cstdint>
#include <string>

#include "src/base/ids.h"
#include "src/request/request_events.h"

namespace marjoramhall::protocol {
class ClaimId;
class KeyName;
class RangeRecord;
class StoredAnswerMessage;
}  // namespace marjoramhall::protocol

namespace marjoramhall::request {

inline constexpr uint32_t kKeyRanges = 256;

// A key and its service. Keys of different services are distinct.
struct KeyName {
  ServiceId service = ServiceId::kNone;
  std::string key;

  auto operator<=>(const KeyName&) const = default;
};

struct KeyNameHash {
  size_t operator()(const KeyName& name) const;
};

// The range of a key, below kKeyRanges. Cost: one hash of the key.
uint32_t RangeOf(const KeyName& name);

// Globally unique id of a claim: the request and the process that claimed.
struct ClaimId {
  VmId vm = VmId::kNone;
  Incarnation incarnation = 0;
  RequestId request = 0;

  bool operator==(const ClaimId&) const = default;
};

// Conversions from and to protocol messages.
KeyName FromProto(const protocol::KeyName& name);
void ToProto(const KeyName& name, protocol::KeyName* out);
ClaimId FromProto(const protocol::ClaimId& claim);
void ToProto(const ClaimId& claim, protocol::ClaimId* out);
KeyRangeRecord FromProto(const protocol::RangeRecord& record);
void ToProto(const KeyRangeRecord& record, protocol::RangeRecord* out);
StoredAnswer FromProto(const protocol::StoredAnswerMessage& answer);
void ToProto(const StoredAnswer& answer, protocol::StoredAnswerMessage* out);

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_KEY_NAME_H_

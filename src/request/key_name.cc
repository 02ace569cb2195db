// Hashing and conversion of idempotency keys.
#include "src/request/key_name.h"

#include <xxhash.h>

#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {

size_t KeyNameHash::operator()(const KeyName& name) const {
  return XXH3_64bits_withSeed(name.key.data(), name.key.size(),
                              ToInteger(name.service));
}

uint32_t RangeOf(const KeyName& name) {
  // Uses the high byte, since hash tables use the low bits.
  return static_cast<uint32_t>(KeyNameHash{}(name) >> 56);
}

KeyName FromProto(const protocol::KeyName& name) {
  return {static_cast<ServiceId>(name.service()), name.key()};
}

void ToProto(const KeyName& name, protocol::KeyName* out) {
  out->set_service(ToInteger(name.service));
  out->set_key(name.key);
}

ClaimId FromProto(const protocol::ClaimId& claim) {
  return {static_cast<VmId>(claim.vm()), claim.incarnation(), claim.request()};
}

void ToProto(const ClaimId& claim, protocol::ClaimId* out) {
  out->set_vm(ToInteger(claim.vm));
  out->set_incarnation(claim.incarnation);
  out->set_request(claim.request);
}

KeyRangeRecord FromProto(const protocol::RangeRecord& record) {
  return {record.range(), record.epoch(), static_cast<VmId>(record.owner()),
          static_cast<VmId>(record.backup())};
}

void ToProto(const KeyRangeRecord& record, protocol::RangeRecord* out) {
  out->set_range(record.range);
  out->set_epoch(record.epoch);
  out->set_owner(ToInteger(record.owner));
  out->set_backup(ToInteger(record.backup));
}

StoredAnswer FromProto(const protocol::StoredAnswerMessage& answer) {
  StoredAnswer result;
  result.status = static_cast<int>(answer.status());
  for (int i = 0; i < answer.names_size() && i < answer.values_size(); ++i) {
    result.headers.emplace_back(answer.names(i), answer.values(i));
  }
  result.body = answer.body();
  return result;
}

void ToProto(const StoredAnswer& answer, protocol::StoredAnswerMessage* out) {
  out->set_status(static_cast<uint32_t>(answer.status));
  for (const auto& [name, value] : answer.headers) {
    out->add_names(name);
    out->add_values(value);
  }
  out->set_body(answer.body);
}

}  // namespace marjoramhall::request

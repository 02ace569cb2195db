// Conversion between member records and their wire form.
#ifndef MARJORAMHALL_CONTROL_MEMBERSHIP_CODEC_H_
#define MARJORAMHALL_CONTROL_MEMBERSHIP_CODEC_H_

#include <optional>

#include "src/control/membership_types.h"

namespace marjoramhall::protocol {
class MemberUpdate;
}  // namespace marjoramhall::protocol

namespace marjoramhall::control {

// Writes the short form (22 bytes), or the full form with name, domain and
// endpoints (about 70 bytes).
void EncodeRecord(const MemberRecord& record,
                  bool full,
                  protocol::MemberUpdate* out);

// True when the update carries the full record.
bool IsFull(const protocol::MemberUpdate& update);

// Reads a full update. Returns nothing when a field is malformed or the id is
// not that of the name.
std::optional<MemberRecord> DecodeFull(const protocol::MemberUpdate& update);

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_MEMBERSHIP_CODEC_H_

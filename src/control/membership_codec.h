// Conversion of member records to and from their wire form.
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

// True when the update has the full form.
bool HasFullRecord(const protocol::MemberUpdate& update);

// Decodes the full form. Returns nothing when a field is malformed or the id
// does not belong to the name.
std::optional<MemberRecord> DecodeFullRecord(
    const protocol::MemberUpdate& update);

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_MEMBERSHIP_CODEC_H_

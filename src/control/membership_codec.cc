// Encodes and decodes member records.
#include "src/control/membership_codec.h"

#include <algorithm>
#include <string>

#include "src/protocol/membership.pb.h"

namespace marjoramhall::control {
namespace {

constexpr size_t kMaxNameBytes = 128;

std::string EncodeEndpoint(const Endpoint& endpoint) {
  const auto& bytes = endpoint.address.bytes;
  const size_t skip = endpoint.address.IsV4() ? 12 : 0;
  std::string result(bytes.begin() + static_cast<ptrdiff_t>(skip), bytes.end());
  result.push_back(static_cast<char>(endpoint.port >> 8));
  result.push_back(static_cast<char>(endpoint.port & 0xff));
  return result;
}

std::optional<Endpoint> DecodeEndpoint(const std::string& text) {
  Endpoint result;
  if (text.size() == 6) {
    result.address = IpAddress::FromV4(0);
  } else if (text.size() != 18) {
    return std::nullopt;
  }
  const size_t n = text.size() - 2;
  std::copy(text.begin(), text.begin() + static_cast<ptrdiff_t>(n),
            result.address.bytes.end() - static_cast<ptrdiff_t>(n));
  result.port = static_cast<uint16_t>((static_cast<uint8_t>(text[n]) << 8) |
                                      static_cast<uint8_t>(text[n + 1]));
  return result;
}

}  // namespace

void EncodeRecord(const MemberRecord& record,
                  bool full,
                  protocol::MemberUpdate* out) {
  const config::Member& member = record.member;
  out->set_id(ToInteger(member.id));
  out->set_incarnation(member.incarnation);
  out->set_state(static_cast<protocol::MemberUpdate::State>(
      ToInteger(record.protocol_state)));
  out->set_start(record.start_incarnation);
  if (full) {
    out->set_name(member.name);
    out->set_domain(member.domain);
    out->set_control_endpoint(EncodeEndpoint(member.control_endpoint));
    out->set_hop_endpoint(EncodeEndpoint(member.hop_endpoint));
    out->set_request_endpoint(EncodeEndpoint(member.request_endpoint));
  }
}

bool HasFullRecord(const protocol::MemberUpdate& update) {
  return !update.name().empty();
}

std::optional<MemberRecord> DecodeFullRecord(
    const protocol::MemberUpdate& update) {
  const auto control = DecodeEndpoint(update.control_endpoint());
  const auto hop = DecodeEndpoint(update.hop_endpoint());
  const auto request = DecodeEndpoint(update.request_endpoint());
  if (!control || !hop || !request || update.name().size() > kMaxNameBytes ||
      update.domain().size() > kMaxNameBytes ||
      static_cast<VmId>(update.id()) != config::VmIdOf(update.name())) {
    return std::nullopt;
  }
  MemberRecord result;
  result.member.id = static_cast<VmId>(update.id());
  result.member.name = update.name();
  result.member.domain = update.domain();
  result.member.incarnation = update.incarnation();
  result.member.control_endpoint = *control;
  result.member.hop_endpoint = *hop;
  result.member.request_endpoint = *request;
  result.start_incarnation = update.start();
  return result;
}

}  // namespace marjoramhall::control

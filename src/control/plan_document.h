// Signed plan documents. A plan carries everything that its confirmation needs,
// so that any VM of the deployment can confirm it.
#ifndef MARJORAMHALL_CONTROL_PLAN_DOCUMENT_H_
#define MARJORAMHALL_CONTROL_PLAN_DOCUMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/ids.h"
#include "src/config/change.h"
#include "src/config/merge.h"

namespace marjoramhall::control {

struct PlanDocument {
  std::string lineage;
  Revision base_revision = 0;
  std::string author;
  std::string reason;
  int64_t expires_at = 0;  // Unix time, seconds
  uint64_t nonce = 0;      // makes the ids of equal plans differ
  std::vector<config::Operation> operations;
  std::vector<config::ObjectMark> marks;
  // Codes of the warnings that the operator was shown.
  std::vector<std::string> warnings;

  bool operator==(const PlanDocument&) const = default;
};

// A document as sent: JSON text and the hexadecimal HMAC-SHA256 of it.
struct SignedDocument {
  std::string payload;
  std::string signature;

  // The first 128 bits of the signature.
  std::string PlanId() const { return signature.substr(0, 32); }
};

// Signs with a key derived for plans only. Cost: one pass over the payload.
SignedDocument SignDocument(const PlanDocument& document,
                            const std::string& key);

// Reads a signed document. Returns nothing when the signature is not of this
// key or the payload is malformed.
std::optional<PlanDocument> VerifyDocument(const SignedDocument& document,
                                           const std::string& key);

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_PLAN_DOCUMENT_H_

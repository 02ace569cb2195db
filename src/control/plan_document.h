// Signed plan documents. A document contains everything that the confirmation
// of its plan needs, so that any VM of the deployment can confirm it.
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
  uint64_t nonce = 0;      // gives equal plans different ids
  std::vector<config::Operation> operations;
  // The changed objects as they were in the base revision.
  std::vector<config::ObjectFingerprint> fingerprints;
  // Codes of the warnings shown to the operator.
  std::vector<std::string> warnings;

  bool operator==(const PlanDocument&) const = default;
};

// A plan document as sent to the operator.
struct SignedDocument {
  std::string payload;    // JSON
  std::string signature;  // HMAC-SHA256 of the payload, hexadecimal

  // The first 128 bits of the signature, hexadecimal.
  std::string PlanId() const { return signature.substr(0, 32); }
};

// Signs a document with the deployment key. Signatures of plans are distinct
// from those of other data under the same key. Cost: one pass over the payload.
SignedDocument SignDocument(const PlanDocument& document,
                            const std::string& key);

// Verifies and parses a signed document. Returns nothing when the signature was
// not made with this key or the payload is malformed.
std::optional<PlanDocument> VerifyDocument(const SignedDocument& document,
                                           const std::string& key);

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_PLAN_DOCUMENT_H_

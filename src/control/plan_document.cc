// JSON form and signature of plan documents.
#include "src/control/plan_document.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

#include "src/config/json_reader.h"

namespace marjoramhall::control {
namespace {

using config::Json;
using config::JsonErrors;
using config::JsonObjectReader;

// Prefix of the signed text, for domain separation from other uses of the key.
constexpr std::string_view kPlanSignaturePrefix = "marjoramhall plan v1\n";

std::string Sign(std::string_view payload, const std::string& key) {
  std::string text(kPlanSignaturePrefix);
  text += payload;
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       mac.data(), &size);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex += kDigits[mac[i] >> 4];
    hex += kDigits[mac[i] & 15];
  }
  return hex;
}

void ReadFingerprint(JsonObjectReader& reader, config::ObjectFingerprint* out) {
  reader.Require("object");
  reader.Require("fingerprint");
  reader.Read("object", &out->object);
  reader.Read("fingerprint", &out->fingerprint);
}

void ReadWarnings(const Json& json,
                  JsonErrors* errors,
                  std::vector<std::string>* out) {
  const auto it = json.find("warnings");
  if (it == json.end() || !it->is_array()) {
    errors->Add("warnings", "expected an array");
    return;
  }
  for (const Json& item : *it) {
    if (item.is_string()) {
      out->push_back(item.get<std::string>());
    }
  }
}

}  // namespace

SignedDocument SignDocument(const PlanDocument& document,
                            const std::string& key) {
  Json json = {{"lineage", document.lineage},
               {"base_revision", document.base_revision},
               {"author", document.author},
               {"reason", document.reason},
               {"expires_at", document.expires_at},
               {"nonce", document.nonce},
               {"operations",
                Json::parse(config::OperationsToJson(document.operations))},
               {"marks", Json::array()},
               {"warnings", document.warnings}};
  for (const config::ObjectFingerprint& it : document.fingerprints) {
    json["marks"].push_back(
        {{"object", it.object}, {"fingerprint", it.fingerprint}});
  }
  SignedDocument result;
  result.payload = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  result.signature = Sign(result.payload, key);
  return result;
}

std::optional<PlanDocument> VerifyDocument(const SignedDocument& document,
                                           const std::string& key) {
  const std::string expected = Sign(document.payload, key);
  if (expected.size() != document.signature.size() ||
      CRYPTO_memcmp(expected.data(), document.signature.data(),
                    expected.size()) != 0) {
    return std::nullopt;
  }
  JsonErrors errors;
  const auto json = config::ParseStrict(document.payload, &errors);
  if (!json || !json->is_object()) {
    return std::nullopt;
  }
  PlanDocument result;
  JsonObjectReader reader(*json, "", &errors);
  reader.Read("lineage", &result.lineage);
  reader.Read("base_revision", &result.base_revision);
  reader.Read("author", &result.author);
  reader.Read("reason", &result.reason);
  reader.Read("expires_at", &result.expires_at);
  reader.Read("nonce", &result.nonce);
  reader.ReadList("marks", &result.fingerprints, ReadFingerprint);
  ReadWarnings(*json, &errors, &result.warnings);
  auto operations = config::OperationsFromJson(
      json->value("operations", Json()).dump(), "operations", nullptr);
  if (!errors.empty() || !operations) {
    return std::nullopt;
  }
  result.operations = std::move(*operations);
  return result;
}

}  // namespace marjoramhall::control

// Matching of requests and conversion of header sections.
#include "src/net/request_proxy_match.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

#include <xxhash.h>

namespace marjoramhall::net {
namespace {

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// Removes the port from an authority such as "yardbook.test:8080" or
// "[::1]:80".
std::string_view HostOf(std::string_view authority) {
  const size_t bracket = authority.rfind(']');
  const size_t colon = authority.rfind(':');
  if (colon != std::string_view::npos &&
      (bracket == std::string_view::npos || colon > bracket)) {
    return authority.substr(0, colon);
  }
  return authority;
}

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

uint64_t Fingerprint(const HeaderFields& fields) {
  std::string text;
  for (const std::string_view name :
       {":method", ":path", "content-digest", "digest"}) {
    // The separator cannot occur in a field value.
    text.append(FieldOf(fields, name)).push_back('\0');
  }
  return XXH3_64bits(text.data(), text.size());
}

bool IsBodyResendable(const MessageHead& head, size_t max_resend_bytes) {
  if (head.end_stream) {
    return true;
  }
  const auto size = ParseNumber(FieldOf(head.fields, "content-length"));
  return size.has_value() && *size <= max_resend_bytes;
}

Duration DeadlineOf(const HeaderFields& fields, Duration limit) {
  const auto ms = ParseNumber(FieldOf(fields, "request-timeout-ms"));
  // Longer than the deadline of any kind, and small enough not to overflow.
  constexpr uint64_t kMaxMilliseconds = 1'000'000'000;
  if (!ms || *ms > kMaxMilliseconds) {
    return limit;
  }
  return std::min<Duration>(limit, std::chrono::milliseconds(*ms));
}

}  // namespace

int ParseStatus(const HeaderFields& fields) {
  return static_cast<int>(ParseNumber(FieldOf(fields, ":status")).value_or(0));
}

std::optional<request::RequestInfo> MatchRequest(
    const config::Deployment& deployment,
    const MessageHead& head,
    std::string_view peer,
    size_t max_resend_bytes) {
  std::string_view authority = FieldOf(head.fields, ":authority");
  if (authority.empty()) {
    authority = FieldOf(head.fields, "host");
  }
  const std::string_view host = HostOf(authority);
  const std::string_view method = FieldOf(head.fields, ":method");
  const std::string_view path = FieldOf(head.fields, ":path");
  for (const config::Service& service : deployment.services) {
    if (service.host.empty() || !EqualIgnoringCase(service.host, host)) {
      continue;
    }
    for (size_t i = 0; i < service.kinds.size(); ++i) {
      const config::RequestKind& kind = service.kinds[i];
      if ((kind.method != "*" && kind.method != method) ||
          !path.starts_with(kind.path_prefix)) {
        continue;
      }
      request::RequestInfo info;
      info.service = service.id;
      info.kind = i;
      const std::string_view caller = FieldOf(head.fields, "x-caller-id");
      info.caller = caller.empty() ? peer : caller;
      info.idempotency_key = FieldOf(head.fields, "idempotency-key");
      info.fingerprint = Fingerprint(head.fields);
      info.declared_first_attempt =
          FieldOf(head.fields, "idempotency-attempt") == "1";
      info.deadline = DeadlineOf(head.fields, kind.deadline);
      info.body_resendable = IsBodyResendable(head, max_resend_bytes);
      return info;
    }
  }
  return std::nullopt;
}

HeaderFields MakeTargetHead(const HeaderFields& caller, Duration deadline) {
  HeaderFields out;
  out.reserve(caller.size() + 1);
  for (const auto& it : caller) {
    // Interim (1xx) responses are not forwarded, so the target must not be
    // asked for one.
    if (it.first != "request-timeout-ms" && it.first != "expect") {
      out.push_back(it);
    }
  }
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(deadline);
  out.emplace_back("request-timeout-ms",
                   std::to_string(std::max<int64_t>(ms.count(), 0)));
  return out;
}

HeaderFields MakeCallerHead(HeaderFields target) {
  std::erase_if(target, [](const auto& it) {
    return it.first == "x-verdict" || it.first == "x-refusal-reason";
  });
  return target;
}

bool IsShedResponse(const HeaderFields& response) {
  return FieldOf(response, ":status") == "503" &&
         FieldOf(response, "x-not-run") == "1";
}

HeaderFields MakeRefusalHead(const request::Refusal& refusal) {
  HeaderFields out = {
      {":status", std::to_string(refusal.status)},
      {"x-verdict", std::string(NameOf(refusal.verdict))},
      {"x-refusal-reason", std::string(NameOf(refusal.reason))},
      {"content-length", "0"},
  };
  if (refusal.retry_after > Duration::zero()) {
    out.emplace_back("retry-after",
                     std::to_string(std::chrono::ceil<std::chrono::seconds>(
                                        refusal.retry_after)
                                        .count()));
  }
  return out;
}

HeaderFields MakeReplayHead(const request::StoredAnswer& answer) {
  HeaderFields out = {{":status", std::to_string(answer.status)}};
  for (const auto& it : answer.headers) {
    if (!it.first.starts_with(':') && it.first != "content-length") {
      out.push_back(it);
    }
  }
  out.emplace_back("content-length", std::to_string(answer.body.size()));
  out.emplace_back("x-verdict", std::string(NameOf(Verdict::kAnswered)));
  return out;
}

}  // namespace marjoramhall::net

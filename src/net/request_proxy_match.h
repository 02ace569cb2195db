// Matches requests to services and request kinds, and converts header sections
// between callers and targets. Functions without I/O.
#ifndef MARJORAMHALL_NET_REQUEST_PROXY_MATCH_H_
#define MARJORAMHALL_NET_REQUEST_PROXY_MATCH_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/config/deployment.h"
#include "src/net/http2_session.h"
#include "src/request/request_events.h"

namespace marjoramhall::net {

// Fills service, kind, caller, idempotency_key, fingerprint,
// declared_first_attempt, deadline and body_resendable. `peer` is used as the
// caller's name if the request has none. `max_resend_bytes` is the largest body
// that is kept for a retry. Returns std::nullopt if no service has the host or
// none of its kinds matches the method and path. Cost: linear in the number of
// services and kinds.
std::optional<request::RequestInfo> MatchRequest(
    const config::Deployment& deployment,
    const MessageHead& head,
    std::string_view peer,
    size_t max_resend_bytes);

// Returns the header section for a target: that of the caller, with the
// remaining time as "request-timeout-ms".
HeaderFields MakeTargetHead(const HeaderFields& caller, Duration deadline);

// Returns the header section of a response for a caller: that of the target,
// without the fields that only marjoramhall may set.
HeaderFields MakeCallerHead(HeaderFields target);

// Whether a target shed the request without running it.
bool IsShedResponse(const HeaderFields& response);

// Returns the header section of the response to a refused request. The response
// has no body.
HeaderFields MakeRefusalHead(const request::Refusal& refusal);

// Returns the header section of a stored response.
HeaderFields MakeReplayHead(const request::StoredAnswer& answer);

// Returns the value of ":status", or 0 if it is missing or invalid.
int ParseStatus(const HeaderFields& fields);

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_REQUEST_PROXY_MATCH_H_

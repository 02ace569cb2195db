// From the head of a request to its service, kind and RequestInfo, and from a
// refusal to the head of its answer. Plain functions without I/O.
#ifndef MARJORAMHALL_NET_REQUEST_PATH_MATCH_H_
#define MARJORAMHALL_NET_REQUEST_PATH_MATCH_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/config/deployment.h"
#include "src/net/http2_session.h"
#include "src/request/request_events.h"

namespace marjoramhall::net {

// Fills service, kind, caller, key, fingerprint, declared_first_attempt,
// deadline and replayable. `peer` names the caller when it does not name
// itself; `replay_bytes` is the largest body kept for a retry. Nothing when no
// service has the host, or none of its kinds matches method and path. Cost:
// linear in services and kinds.
std::optional<request::RequestInfo> MatchRequest(
    const config::Deployment& deployment,
    const MessageHead& head,
    std::string_view peer,
    size_t replay_bytes);

// The request's head as sent to a target: the caller's, with the time that is
// left as "request-timeout-ms".
HeaderFields TargetHead(const HeaderFields& caller, Duration deadline);

// The answer's head as sent to a caller: the target's, without the fields that
// only marjoramhall itself may set.
HeaderFields CallerHead(HeaderFields target);

// True for an answer by which a target sheds a request that it did not run.
bool IsShed(const HeaderFields& answer);

// The whole answer to a refused request.
HeaderFields RefusalHead(const request::Refusal& refusal);

// The head of a stored answer.
HeaderFields ReplayHead(const request::StoredAnswer& answer);

// The value of ":status", or 0.
int StatusOf(const HeaderFields& fields);

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_REQUEST_PATH_MATCH_H_

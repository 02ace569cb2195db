// The verdict on a request: whether a target may have executed it.
#ifndef MARJORAMHALL_BASE_VERDICT_H_
#define MARJORAMHALL_BASE_VERDICT_H_

#include <span>

#include "src/base/enum_names.h"

namespace marjoramhall {

enum class Verdict {
  // The caller received the complete response of the target.
  kAnswered,
  // The request did not run: no part of it was sent to a target, or the target
  // reported in the protocol that it did not process it. Safe to resubmit.
  kNotRun,
  // The target may have executed the request completely or partially.
  kMayHaveRun,
};

inline constexpr EnumName<Verdict> kVerdictNames[] = {
    {Verdict::kAnswered, "answered"},
    {Verdict::kNotRun, "not-run"},
    {Verdict::kMayHaveRun, "may-have-run"},
};
constexpr std::span<const EnumName<Verdict>> NamesOf(Verdict) {
  return kVerdictNames;
}

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_VERDICT_H_

// The verdict on a request: whether it may have run at a target.
#ifndef MARJORAMHALL_BASE_VERDICT_H_
#define MARJORAMHALL_BASE_VERDICT_H_

#include <span>

#include "src/base/enum_names.h"

namespace marjoramhall {

enum class Verdict {
  // The caller got the whole answer of the target.
  kAnswered,
  // The request certainly did not run: nothing of it was sent to a target, or
  // the target said so by its protocol. Safe to submit again.
  kNotRun,
  // The request may have run, wholly or in part.
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

// Reuse of encoded changes.
#include "src/discovery/encoded_changes.h"

#include <utility>

namespace marjoramhall::discovery {

EncodedChangeSet EncodedChanges::Encode(StorePosition after,
                                        ChangeSet set,
                                        TimePoint now) {
  if (relay_position_ != relay_.position() || now - encoded_at_ > kMaxReuse) {
    encodings_.clear();
    relay_position_ = relay_.position();
    encoded_at_ = now;
  }
  const auto [it, is_new] = encodings_.try_emplace(
      set.complete ? std::nullopt : std::optional(after));
  Encoding& encoding = it->second;
  if (is_new) {
    ChangeSet whole;
    whole.complete = set.complete;
    whole.position = set.position;
    relay_.AddChanges(after, now, &whole);
    ChangeSet changes;
    changes.changes = std::move(whole.changes);
    encoding = {whole.position,
                std::make_shared<const std::string>(EncodeChangeSet(changes))};
  }
  set.position = encoding.position;
  return {EncodeChangeSet(set), encoding.changes};
}

}  // namespace marjoramhall::discovery

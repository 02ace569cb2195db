// The idempotency keys that this VM holds as owner or backup of their ranges.
// The number of keys, their age and the size of stored answers are bounded.
#ifndef MARJORAMHALL_REQUEST_KEY_TABLE_H_
#define MARJORAMHALL_REQUEST_KEY_TABLE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "src/base/time.h"
#include "src/request/key_name.h"
#include "src/request/request_options.h"

namespace marjoramhall::request {

enum class KeyState {
  // The claim ended as not run. Kept until the backup has acknowledged it.
  kReleased,
  kClaimed,
  // Answered. The answer may have been dropped to save memory.
  kAnswered,
  kMayHaveRun,
};

struct KeyEntry {
  ClaimId claim;
  KeyState state = KeyState::kClaimed;
  uint64_t fingerprint = 0;
  bool has_answer = false;
  StoredAnswer answer;
  TimePoint changed_at{};
  // At the owner, increases with every change. At the backup, the version and
  // epoch of the newest replica.
  uint64_t version = 0;
  uint64_t epoch = 0;
  // Owner only: the backup holds this version, or there is no backup.
  bool acked = true;
  // Owner only: messages to send after the acknowledgement.
  bool grant_pending = false;
  bool outcome_ack_pending = false;
};

class KeyTable {
 public:
  using Range = std::unordered_map<KeyName, KeyEntry, KeyNameHash>;

  explicit KeyTable(const RequestPlaneOptions& options) : options_(options) {}

  // Returns null for an unknown key.
  KeyEntry* Find(const KeyName& name);
  bool IsFull() const { return size_ >= options_.max_keys; }
  // Returns the entry of the name, which is created if absent. Pointers stay
  // valid until the entry is erased.
  KeyEntry& Insert(const KeyName& name);
  // Must be called after each change of state, and restarts the retention time.
  // For a replica, `changed_at` may be in the past.
  void SetChangedAt(const KeyName& name, KeyEntry& entry, TimePoint changed_at);
  // Stores an answer; may drop the oldest answers.
  void SetAnswer(const KeyName& name, KeyEntry& entry, StoredAnswer answer);
  void Erase(const KeyName& name);
  void EraseRange(uint32_t range);

  Range& range(uint32_t index) { return ranges_[index]; }

  // Erases keys whose retention has ended. Returns their number.
  size_t Expire(TimePoint now);

  size_t size() const { return size_; }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  static size_t AnswerBytes(const StoredAnswer& answer);
  void DropAnswer(KeyEntry& entry);

  const RequestPlaneOptions& options_;
  std::array<Range, kKeyRanges> ranges_;
  // size_ is the number of entries in ranges_, answer_bytes_ the total size of
  // their answers.
  size_t size_ = 0;
  size_t answer_bytes_ = 0;
  // In insertion order. An element is outdated if its entry has changed since.
  std::deque<std::pair<TimePoint, KeyName>> retention_queue_;
  std::deque<KeyName> answer_queue_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_KEY_TABLE_H_

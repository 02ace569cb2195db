// The idempotency keys that this VM holds as owner or backup of their ranges,
// with bounds on count, answers and age.
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
  // Claimed and released as not run; kept until the backup knows.
  kReleased,
  kClaimed,
  // Answered; the answer may have been dropped for memory.
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
  // At the owner: rises with every change. At the backup: of the newest replica
  // and the epoch it came with.
  uint64_t version = 0;
  uint64_t epoch = 0;
  // Owner only: the backup holds this version.
  bool acked = true;
  // Owner only: who waits for the acknowledgement.
  bool grant_pending = false;
  bool outcome_ack_pending = false;
};

class KeyTable {
 public:
  using Range = std::unordered_map<KeyName, KeyEntry, KeyNameHash>;

  explicit KeyTable(const RequestPlaneOptions& options) : options_(options) {}

  KeyEntry* Find(const KeyName& name);
  bool IsFull() const { return size_ >= options_.max_keys; }
  // The entry of the name, made when absent. Pointers stay valid until the
  // entry is erased.
  KeyEntry& Insert(const KeyName& name);
  // Must be called after each change of state; restarts the retention.
  // `changed_at` may lie in the past for a replica.
  void SetChangedAt(const KeyName& name, KeyEntry& entry, TimePoint changed_at);
  void SetAnswer(const KeyName& name, KeyEntry& entry, StoredAnswer answer);
  void Erase(const KeyName& name);
  void EraseRange(uint32_t range);

  Range& range(uint32_t index) { return ranges_[index]; }

  // Drops keys past their retention; returns how many.
  size_t Expire(TimePoint now);

  size_t size() const { return size_; }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  static size_t AnswerBytes(const StoredAnswer& answer);
  void DropAnswer(KeyEntry& entry);

  const RequestPlaneOptions& options_;
  std::array<Range, kKeyRanges> ranges_;
  // size_ counts the entries of ranges_; answer_bytes_ sums their answers.
  size_t size_ = 0;
  size_t answer_bytes_ = 0;
  // In order of insertion; an element is stale when the entry has changed
  // since.
  std::deque<std::pair<TimePoint, KeyName>> retention_queue_;
  std::deque<KeyName> answer_queue_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_KEY_TABLE_H_

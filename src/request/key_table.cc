// Bounded storage of idempotency keys.
#include "src/request/key_table.h"

#include <utility>

namespace marjoramhall::request {

KeyEntry* KeyTable::Find(const KeyName& name) {
  Range& range = ranges_[RangeOf(name)];
  const auto it = range.find(name);
  return it == range.end() ? nullptr : &it->second;
}

KeyEntry& KeyTable::Insert(const KeyName& name) {
  const auto [it, added] = ranges_[RangeOf(name)].try_emplace(name);
  size_ += added;
  return it->second;
}

void KeyTable::SetChangedAt(const KeyName& name,
                            KeyEntry& entry,
                            TimePoint changed_at) {
  entry.changed_at = changed_at;
  retention_queue_.emplace_back(changed_at, name);
}

size_t KeyTable::AnswerBytes(const StoredAnswer& answer) {
  size_t bytes = answer.body.size();
  for (const auto& [name, value] : answer.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

void KeyTable::DropAnswer(KeyEntry& entry) {
  if (entry.has_answer) {
    answer_bytes_ -= AnswerBytes(entry.answer);
    entry.has_answer = false;
    entry.answer = StoredAnswer{};
  }
}

void KeyTable::SetAnswer(const KeyName& name,
                         KeyEntry& entry,
                         StoredAnswer answer) {
  DropAnswer(entry);
  answer_bytes_ += AnswerBytes(answer);
  entry.answer = std::move(answer);
  entry.has_answer = true;
  answer_queue_.push_back(name);
  // Drops the oldest answers first. Their keys stay, so that resubmissions are
  // still refused.
  while (answer_bytes_ > options_.max_stored_answer_bytes &&
         !answer_queue_.empty()) {
    KeyEntry* oldest = Find(answer_queue_.front());
    answer_queue_.pop_front();
    if (oldest != nullptr) {
      DropAnswer(*oldest);
    }
  }
}

void KeyTable::Erase(const KeyName& name) {
  Range& range = ranges_[RangeOf(name)];
  const auto it = range.find(name);
  if (it != range.end()) {
    DropAnswer(it->second);
    range.erase(it);
    --size_;
  }
}

void KeyTable::EraseRange(uint32_t index) {
  for (auto& [name, entry] : ranges_[index]) {
    DropAnswer(entry);
  }
  size_ -= ranges_[index].size();
  ranges_[index].clear();
}

size_t KeyTable::Expire(TimePoint now) {
  const size_t before = size_;
  while (!retention_queue_.empty() &&
         now - retention_queue_.front().first >= options_.key_retention) {
    const auto [at, name] = std::move(retention_queue_.front());
    retention_queue_.pop_front();
    const KeyEntry* entry = Find(name);
    if (entry != nullptr && entry->changed_at == at) {
      Erase(name);
    }
  }
  while (!answer_queue_.empty() && Find(answer_queue_.front()) == nullptr) {
    answer_queue_.pop_front();
  }
  return before - size_;
}

}  // namespace marjoramhall::request

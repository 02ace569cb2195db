// Reads, checks and updates the key range table.
#include "src/net/key_range_store.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace marjoramhall::net {
namespace {

using control::StoreStatus;
using control::StoreValue;
using request::KeyRangeRecord;
using Table = std::map<uint32_t, KeyRangeRecord>;

// Owner and backup are written as decimal strings, because many JSON readers
// lose precision of numbers beyond 53 bits.
std::string SerializeTable(const Table& table) {
  nlohmann::json ranges = nlohmann::json::array();
  for (const auto& [range, it] : table) {
    ranges.push_back({{"range", range},
                      {"epoch", it.epoch},
                      {"owner", std::to_string(ToInteger(it.owner))},
                      {"backup", std::to_string(ToInteger(it.backup))}});
  }
  return nlohmann::json{{"ranges", std::move(ranges)}}.dump();
}

std::optional<Table> ParseTable(const std::string& text) {
  Table table;
  if (text.empty()) {
    return table;
  }
  try {
    const auto value = nlohmann::json::parse(text);
    for (const auto& it : value.at("ranges")) {
      KeyRangeRecord record;
      record.range = it.at("range").get<uint32_t>();
      record.epoch = it.at("epoch").get<uint64_t>();
      record.owner =
          static_cast<VmId>(std::stoull(it.at("owner").get<std::string>()));
      record.backup =
          static_cast<VmId>(std::stoull(it.at("backup").get<std::string>()));
      table[record.range] = record;
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return table;
}

std::vector<KeyRangeRecord> ToRecords(const Table& table) {
  std::vector<KeyRangeRecord> records;
  records.reserve(table.size());
  for (const auto& [range, it] : table) {
    records.push_back(it);
  }
  return records;
}

enum class Acceptance { kAlreadyStored, kAccepted, kRejected };

Acceptance CheckRecord(const Table& table, const KeyRangeRecord& record) {
  const auto it = table.find(record.range);
  if (it != table.end() && it->second == record) {
    return Acceptance::kAlreadyStored;
  }
  const uint64_t current = it == table.end() ? 0 : it->second.epoch;
  return record.epoch == current + 1 ? Acceptance::kAccepted
                                     : Acceptance::kRejected;
}

}  // namespace

KeyRangeStore::KeyRangeStore(control::StoreClient store, std::string key)
    : store_(std::move(store)), key_(std::move(key)) {}

void KeyRangeStore::Read(KeyRangesDone done) {
  store_.read(key_, [done = std::move(done)](StoreStatus status,
                                             const StoreValue& value) {
    const auto table =
        status == StoreStatus::kOk ? ParseTable(value.value) : std::nullopt;
    done(table.has_value(),
         table ? ToRecords(*table) : std::vector<KeyRangeRecord>{});
  });
}

void KeyRangeStore::Record(std::vector<KeyRangeRecord> records,
                           KeyRangesDone done) {
  TryRecord(std::move(records), kMaxTries, std::move(done));
}

void KeyRangeStore::TryRecord(std::vector<KeyRangeRecord> records,
                              int tries_left,
                              KeyRangesDone done) {
  store_.read(key_, [this, records = std::move(records), tries_left,
                     done = std::move(done)](StoreStatus status,
                                             const StoreValue& value) mutable {
    auto table =
        status == StoreStatus::kOk ? ParseTable(value.value) : std::nullopt;
    if (!table || tries_left == 0) {
      done(false, table ? ToRecords(*table) : std::vector<KeyRangeRecord>{});
      return;
    }
    Table changed = *table;
    bool any_accepted = false;
    for (const KeyRangeRecord& it : records) {
      const Acceptance acceptance = CheckRecord(*table, it);
      if (acceptance == Acceptance::kRejected) {
        done(false, ToRecords(*table));
        return;
      }
      any_accepted |= acceptance == Acceptance::kAccepted;
      changed[it.range] = it;
    }
    if (!any_accepted) {
      done(true, ToRecords(*table));
      return;
    }
    auto text = SerializeTable(changed);
    store_.compare_and_swap(
        key_, value.version, std::move(text),
        [this, records = std::move(records), changed = std::move(changed),
         tries_left,
         done = std::move(done)](StoreStatus written, uint64_t) mutable {
          if (written == StoreStatus::kOk) {
            done(true, ToRecords(changed));
            return;
          }
          if (written == StoreStatus::kUnavailable) {
            done(false, {});
            return;
          }
          // After a conflict the table has changed. After an unknown result the
          // next read shows whether the write took effect.
          TryRecord(std::move(records), tries_left - 1, std::move(done));
        });
  });
}

}  // namespace marjoramhall::net

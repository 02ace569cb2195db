// Accounting of transfers.
#include "src/forward/bulk_admission.h"

#include <algorithm>
#include <utility>

namespace marjoramhall::forward {
namespace {

// Weight of a new request in the smoothed size of a route's requests.
constexpr double kSizeSmoothing = 0.1;

uint32_t MaxTransfersOf(const BulkAdmissionOptions& options) {
  const double seconds = ToSeconds(options.max_link_queue);
  const double windows =
      options.link_bytes_per_second * seconds / options.window_bytes;
  return std::max(options.min_transfers, static_cast<uint32_t>(windows));
}

}  // namespace

BulkAdmission::BulkAdmission(BulkAdmissionOptions options)
    : options_(options), max_transfers_(MaxTransfersOf(options)) {}

bool BulkAdmission::IsBulk(uint64_t route_key) const {
  if (options_.link_bytes_per_second <= 0) {
    return false;
  }
  const auto it = request_sizes_.find(route_key);
  return it != request_sizes_.end() &&
         it->second.bytes >= options_.window_bytes;
}

Duration BulkAdmission::EstimatedWait(uint64_t route_key, size_t before) const {
  // The transfers share the link, and half of each is left.
  const double transfers =
      static_cast<double>(before) + static_cast<double>(transfers_.size()) / 2;
  const double seconds = request_sizes_.at(route_key).bytes * transfers /
                         options_.link_bytes_per_second;
  return FromSeconds(seconds);
}

Duration BulkAdmission::LongestLinkQueue() const {
  if (transfers_.empty()) {
    return Duration{0};
  }
  const double bytes = static_cast<double>(transfers_.size()) *
                       static_cast<double>(options_.window_bytes);
  return FromSeconds(bytes / options_.link_bytes_per_second);
}

void BulkAdmission::OnTransfer(const FlowKey& key, TimePoint now) {
  transfers_.insert_or_assign(key, now);
}

void BulkAdmission::OnRequestData(const FlowKey& key,
                                  uint64_t route_key,
                                  uint32_t bytes,
                                  TimePoint now) {
  if (options_.link_bytes_per_second <= 0) {
    return;
  }
  const bool is_large = bytes >= options_.window_bytes;
  if (is_large) {
    // The first large request of a route may take long to end.
    RequestSize& size = request_sizes_[route_key];
    size.bytes =
        size.is_known ? size.bytes : std::max<double>(size.bytes, bytes);
  }
  if (is_large || transfers_.contains(key)) {
    OnTransfer(key, now);
  }
}

void BulkAdmission::OnRequestEnd(const FlowKey& key,
                                 uint64_t route_key,
                                 uint32_t bytes) {
  transfers_.erase(key);
  RequestSize& size = request_sizes_[route_key];
  if (std::exchange(size.is_known, true)) {
    size.bytes += kSizeSmoothing * (bytes - size.bytes);
  } else {
    size.bytes = bytes;
  }
}

void BulkAdmission::Expire(TimePoint now) {
  std::erase_if(transfers_, [&](const auto& it) {
    return now - it.second >= options_.idle_timeout;
  });
}

}  // namespace marjoramhall::forward

// Wraps a store client to count its calls.
#include "src/control/store_counter.h"

#include <utility>

namespace marjoramhall::control {
namespace {

template <typename Done>
Done CountResult(const std::shared_ptr<StoreCallCounts>& counts, Done done) {
  return
      [counts, done = std::move(done)](StoreStatus status, const auto& answer) {
        ++counts->results[static_cast<size_t>(status)];
        done(status, answer);
      };
}

}  // namespace

StoreClient CountCalls(StoreClient inner,
                       const std::shared_ptr<StoreCallCounts>& counts) {
  auto shared = std::make_shared<StoreClient>(std::move(inner));
  StoreClient result;
  result.read = [shared, counts](const std::string& key, ReadCallback done) {
    ++counts->reads;
    shared->read(key, CountResult(counts, std::move(done)));
  };
  result.compare_and_swap = [shared, counts](
                                const std::string& key, uint64_t expected,
                                std::string value, WriteCallback done) {
    ++counts->writes;
    shared->compare_and_swap(key, expected, std::move(value),
                             CountResult(counts, std::move(done)));
  };
  result.acquire_lease = [shared, counts](const std::string& name,
                                          const std::string& holder,
                                          Duration ttl, LeaseCallback done) {
    ++counts->leases;
    shared->acquire_lease(name, holder, ttl,
                          CountResult(counts, std::move(done)));
  };
  result.watch = [shared, counts](const std::string& key, uint64_t known,
                                  Duration timeout, ReadCallback done) {
    ++counts->watches;
    shared->watch(key, known, timeout, CountResult(counts, std::move(done)));
  };
  return result;
}

}  // namespace marjoramhall::control

// An in-memory store for running without a platform. Its content is lost when
// the process ends.
#ifndef MARJORAMHALL_NET_LOCAL_STORE_H_
#define MARJORAMHALL_NET_LOCAL_STORE_H_

#include <memory>

#include "src/control/store_client.h"
#include "src/control/store_table.h"

namespace asio {
class io_context;
}  // namespace asio

namespace marjoramhall::net {

// Must be used on the thread of the io_context. Clients may outlive the store;
// their calls then report kUnavailable.
class LocalStore {
 public:
  explicit LocalStore(asio::io_context& io);
  ~LocalStore();
  LocalStore(const LocalStore&) = delete;
  LocalStore& operator=(const LocalStore&) = delete;

  control::StoreClient Client();
  control::StoreTable& table();

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_LOCAL_STORE_H_

// The load generator's connections to the VMs, reopened when they end.
#ifndef MARJORAMHALL_LAB_HTTP_LOAD_CONNECTIONS_H_
#define MARJORAMHALL_LAB_HTTP_LOAD_CONNECTIONS_H_

#include <memory>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/time.h"
#include "src/net/http2_session.h"

namespace asio {
class io_context;
}

namespace marjoramhall::lab {

class LoadConnections {
 public:
  LoadConnections(asio::io_context& io,
                  const std::vector<Endpoint>& vms,
                  size_t per_vm);
  ~LoadConnections();
  LoadConnections(const LoadConnections&) = delete;
  LoadConnections& operator=(const LoadConnections&) = delete;

  // Returns an open session of the VM with index `vm`, in round-robin order; if
  // that VM has none, a session of the next VM that has one. Sets `vm` to the
  // VM of the returned session. Returns null if no VM has a session.
  net::Http2SessionPtr Choose(size_t& vm);
  size_t vms() const { return vms_.size(); }
  // True if all connections to all VMs are open.
  bool IsComplete() const;
  void Close();

 private:
  struct Vm;
  struct Connection;

  static void Connect(const std::shared_ptr<Connection>& connection);
  static void ConnectLater(const std::shared_ptr<Connection>& connection,
                           Duration delay);

  std::vector<std::unique_ptr<Vm>> vms_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_LOAD_CONNECTIONS_H_

// The callers' connections to the VMs, reopened when they end.
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

  // A session of the VM, or of the next one that has a session, in turns; null
  // when there is none at all. `vm` becomes the VM that was found.
  net::Http2SessionPtr Choose(size_t& vm);
  size_t vms() const { return vms_.size(); }
  // True when every VM has all its connections.
  bool IsComplete() const;
  void Close();

 private:
  struct Vm;
  struct Line;

  static void Connect(const std::shared_ptr<Line>& line);
  static void ConnectLater(const std::shared_ptr<Line>& line, Duration pause);

  std::vector<std::unique_ptr<Vm>> vms_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_LOAD_CONNECTIONS_H_

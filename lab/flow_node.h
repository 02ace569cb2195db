// Interface of a VM in the flow simulation. It is implemented by the flow plane
// and by the baselines it is compared with.
#ifndef MARJORAMHALL_LAB_FLOW_NODE_H_
#define MARJORAMHALL_LAB_FLOW_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <utility>

#include "src/base/peer_channel.h"
#include "src/flow/flow_router.h"

namespace marjoramhall::lab {

// One VM of a flow routing design.
class FlowNode {
 public:
  virtual ~FlowNode() = default;
  virtual void OnView(config::ControlViewPtr view, TimePoint now) = 0;
  virtual flow::Route OnFabricPacket(std::span<const uint8_t> packet,
                                     TimePoint now) = 0;
  // `packet` is set to the IP packet in the datagram.
  virtual flow::Route OnHopDatagram(std::span<const uint8_t> datagram,
                                    std::span<const uint8_t>& packet,
                                    TimePoint now) = 0;
  virtual void OnPeerMessage(VmId from,
                             std::string_view payload,
                             TimePoint now) = 0;
  virtual void OnTick(TimePoint now) = 0;
  // Bytes sent to peers so far.
  virtual uint64_t ControlBytes() const = 0;
  // True if a leaving VM has handed over the state that no other VM has.
  virtual bool IsHandedOver(TimePoint) const { return true; }
};

using FlowNodeFactory =
    std::function<std::unique_ptr<FlowNode>(VmId, Incarnation, SendToPeer)>;

// The flow plane.
class RouterNode : public FlowNode {
 public:
  RouterNode(const flow::FlowOptions& options,
             VmId self,
             Incarnation incarnation,
             SendToPeer send,
             DecisionHook decide)
      : router_(options,
                self,
                incarnation,
                std::move(send),
                std::move(decide),
                ToInteger(self)) {}

  void OnView(config::ControlViewPtr view, TimePoint now) override {
    router_.OnView(std::move(view), now);
  }
  flow::Route OnFabricPacket(std::span<const uint8_t> packet,
                             TimePoint now) override {
    return router_.OnFabricPacket(packet, now);
  }
  flow::Route OnHopDatagram(std::span<const uint8_t> datagram,
                            std::span<const uint8_t>& packet,
                            TimePoint now) override {
    return router_.OnHopDatagram(datagram, packet, now);
  }
  void OnPeerMessage(VmId from,
                     std::string_view payload,
                     TimePoint now) override {
    router_.OnPeerMessage(from, payload, now);
  }
  void OnTick(TimePoint now) override { router_.OnTick(now); }
  uint64_t ControlBytes() const override {
    return router_.counters()[flow::FlowCounter::kControlBytes];
  }
  bool IsHandedOver(TimePoint now) const override {
    return router_.IsHandedOver(now);
  }
  flow::FlowRouter& router() { return router_; }

 private:
  flow::FlowRouter router_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FLOW_NODE_H_

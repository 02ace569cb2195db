// Flow routing designs without state, or with state per VM only.
#include "lab/flow_baselines.h"

#include <xxhash.h>

#include <cmath>
#include <unordered_map>
#include <vector>

#include "src/flow/flow_hash.h"

namespace marjoramhall::lab {
namespace {

// Base of the baselines: routes by the current view, without hops between VMs
// and without control traffic.
class BaselineNode : public FlowNode {
 public:
  void OnView(config::ControlViewPtr view, TimePoint) override {
    if (view_ && view_->revision() > view->deployment->revision) {
      return;
    }
    view_ = std::make_unique<flow::FlowView>(std::move(view), nullptr);
    Rebuild();
  }

  flow::Route OnFabricPacket(std::span<const uint8_t> packet,
                             TimePoint) override {
    flow::PacketInfo info;
    if (!view_ || flow::ParsePacket(packet, info) != flow::ParseError::kNone) {
      return {};
    }
    const auto service = view_->FindService(info.key);
    if (!service) {
      return {};
    }
    const auto hash = flow::HashFlow(info.key, view_->seed());
    flow::Route route;
    route.target = ChooseTarget(*service, hash);
    if (const flow::TargetView* it = view_->FindTarget(route.target)) {
      route.kind = flow::RouteKind::kTarget;
      route.endpoint = it->endpoint;
    }
    return route;
  }

  flow::Route OnHopDatagram(std::span<const uint8_t>,
                            std::span<const uint8_t>&,
                            TimePoint) override {
    return {};
  }
  void OnPeerMessage(VmId, std::string_view, TimePoint) override {}
  void OnTick(TimePoint) override {}
  uint64_t ControlBytes() const override { return 0; }

 protected:
  virtual void Rebuild() {}
  virtual TargetId ChooseTarget(uint32_t service,
                                const flow::FlowHash& hash) = 0;

  std::vector<flow::TargetView> ActiveTargets(uint32_t service) const {
    std::vector<flow::TargetView> active;
    for (const auto& it : view_->TargetsOf(view_->services()[service])) {
      if (it.active) {
        active.push_back(it);
      }
    }
    return active;
  }

  std::unique_ptr<flow::FlowView> view_;
};

class RendezvousNode : public BaselineNode {
 protected:
  TargetId ChooseTarget(uint32_t service, const flow::FlowHash& hash) override {
    TargetId best = TargetId::kNone;
    double best_score = 0;
    for (const auto& it : view_->TargetsOf(view_->services()[service])) {
      const uint64_t buf[3] = {hash.low, hash.high, ToInteger(it.id)};
      const double u =
          (static_cast<double>(XXH3_64bits(buf, sizeof(buf)) >> 11) + 0.5) *
          0x1p-53;
      const double score = it.weight / -std::log(u);
      if (it.active && score > best_score) {
        best = it.id;
        best_score = score;
      }
    }
    return best;
  }
};

class MaglevNode : public BaselineNode {
 protected:
  void Rebuild() override {
    tables_.clear();
    for (uint32_t s = 0; s < view_->services().size(); ++s) {
      tables_.push_back(FillTable(ActiveTargets(s)));
    }
  }

  TargetId ChooseTarget(uint32_t service, const flow::FlowHash& hash) override {
    return tables_[service][hash.high % kTableSize];
  }

 private:
  // A prime, so that every skip value visits all slots.
  static constexpr uint64_t kTableSize = 65537;

  static std::vector<TargetId> FillTable(
      const std::vector<flow::TargetView>& targets) {
    std::vector<TargetId> table(kTableSize, TargetId::kNone);
    struct Permutation {
      uint64_t next, skip;
    };
    std::vector<Permutation> permutations;
    for (const auto& it : targets) {
      const auto id = ToInteger(it.id);
      permutations.push_back(
          {XXH3_64bits_withSeed(&id, sizeof(id), 1) % kTableSize,
           XXH3_64bits_withSeed(&id, sizeof(id), 2) % (kTableSize - 1) + 1});
    }
    for (size_t filled = 0; filled < kTableSize && !targets.empty();) {
      for (size_t i = 0; i < targets.size() && filled < kTableSize; ++i) {
        while (table[permutations[i].next] != TargetId::kNone) {
          permutations[i].next =
              (permutations[i].next + permutations[i].skip) % kTableSize;
        }
        table[permutations[i].next] = targets[i].id;
        ++filled;
      }
    }
    return table;
  }

  std::vector<std::vector<TargetId>> tables_;
};

class RoundRobinNode : public BaselineNode {
 protected:
  TargetId ChooseTarget(uint32_t service, const flow::FlowHash& hash) override {
    TargetId& target = flows_[hash];
    if (target == TargetId::kNone) {
      const auto active = ActiveTargets(service);
      target =
          active.empty() ? TargetId::kNone : active[next_++ % active.size()].id;
    }
    return target;
  }

 private:
  std::unordered_map<flow::FlowHash, TargetId, flow::FlowHashHasher> flows_;
  size_t next_ = 0;
};

}  // namespace

FlowNodeFactory MakeFlowNodes(FlowDesign design,
                              const flow::FlowOptions& options) {
  return [design, options](VmId self, Incarnation incarnation,
                           SendToPeer send) -> std::unique_ptr<FlowNode> {
    switch (design) {
      case FlowDesign::kRendezvous:
        return std::make_unique<RendezvousNode>();
      case FlowDesign::kMaglev:
        return std::make_unique<MaglevNode>();
      case FlowDesign::kRoundRobin:
        return std::make_unique<RoundRobinNode>();
      case FlowDesign::kMarjoramhall:
        break;
    }
    return std::make_unique<RouterNode>(options, self, incarnation,
                                        std::move(send), DecisionHook());
  };
}

}  // namespace marjoramhall::lab

// Compares the route of each packet of a drain with a golden file. Fails on any
// change of the routing protocol. After an intended change, run with
// MARJORAMHALL_UPDATE_GOLDEN=1 and review the difference.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <sstream>

#include "lab/flow_sim.h"

namespace marjoramhall::flow {
namespace {

class DrainSession {
 public:
  DrainSession() : sim_(Options(), Factory()) {
    sim_.on_route = [this](size_t vm, std::span<const uint8_t> packet, bool hop,
                           const Route& route) {
      PacketInfo info;
      ParsePacket(packet, info);
      Line() << "flow " << info.key.source_port - 1024 << " "
             << (info.tcp_syn             ? "syn"
                 : info.tcp_fin           ? "fin"
                 : info.payload_size == 0 ? "ack"
                                          : "data")
             << " at vm-" << vm << (hop ? " from peer" : " from fabric")
             << Describe(route) << "\n";
    };
  }

  std::string Run() {
    for (int i = 0; i < 10; ++i) {
      sim_.StartFlow(0);
      sim_.RunFor(std::chrono::milliseconds(10));
    }
    SendAll(2);
    Line() << "drain target 1\n";
    sim_.Change([](config::Deployment& it) {
      it.services[0].targets[0].state = config::TargetState::kDraining;
    });
    sim_.RunFor(std::chrono::milliseconds(200));
    for (int i = 0; i < 4; ++i) {
      sim_.StartFlow(0);
    }
    sim_.RunFor(std::chrono::seconds(3));
    Line() << "three seconds after the drain\n";
    for (int i = 0; i < 4; ++i) {
      sim_.StartFlow(0);
    }
    SendAll(3);
    for (size_t i = 0; i < sim_.flows().size(); i += 3) {
      sim_.CloseFlow(i);
      sim_.RunFor(std::chrono::milliseconds(10));
    }
    const auto& seen = sim_.violations();
    Line() << "broken " << seen.broken << " misrouted " << seen.misrouted
           << " new on draining " << seen.new_on_draining << "\n";
    return out_.str();
  }

 private:
  static lab::FlowSimOptions Options() {
    lab::FlowSimOptions options;
    options.vms = 3;
    options.targets = {3};
    options.seed = 7;
    return options;
  }

  lab::FlowNodeFactory Factory() {
    return [this](VmId self, Incarnation incarnation, SendToPeer send) {
      FlowOptions options;
      options.max_table_entries = 1024;
      options.shared_key = "lab";
      return std::make_unique<lab::RouterNode>(
          options, self, incarnation, std::move(send),
          [this](const Decision& it) {
            Line() << "decision target " << ToInteger(it.target) << " "
                   << it.reason << " revision " << it.revision << "\n";
          });
    };
  }

  std::ostream& Line() {
    const auto elapsed = sim_.now() - start_;
    return out_ << std::setw(9) << elapsed.count() << " us  ";
  }

  static std::string Describe(const Route& route) {
    std::ostringstream out;
    if (route.kind == RouteKind::kTarget) {
      out << " -> target " << ToInteger(route.target);
    } else if (route.kind == RouteKind::kPeer) {
      out << " -> " << NameOf(route.hop.kind) << " to peer "
          << ToInteger(route.peer) % 1000 << " flags "
          << static_cast<int>(route.hop.flags) << " target "
          << ToInteger(route.target);
    } else {
      out << " -> none";
    }
    return out.str();
  }

  void SendAll(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      sim_.RunFor(std::chrono::milliseconds(100));
      for (size_t f = 0; f < sim_.flows().size(); ++f) {
        sim_.SendData(f);
      }
    }
    sim_.RunFor(std::chrono::milliseconds(100));
  }

  std::ostringstream out_;
  lab::FlowSim sim_;
  TimePoint start_ = sim_.now();
};

TEST(FlowDrainGoldenTest, SessionMatchesTheGoldenFile) {
  const std::string path =
      std::string(MARJORAMHALL_TEST_DIR) + "/golden/drain_session.txt";
  const std::string session = DrainSession().Run();
  if (std::getenv("MARJORAMHALL_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << session;
  }
  std::ifstream file(path);
  std::stringstream golden;
  golden << file.rdbuf();
  EXPECT_EQ(session, golden.str());
}

}  // namespace
}  // namespace marjoramhall::flow

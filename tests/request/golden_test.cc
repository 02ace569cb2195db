// Compares every decision on a request, with its time, VM, target and reason,
// with golden files. Guards against changes of behaviour that no other test
// detects. MARJORAMHALL_UPDATE_GOLDEN=1 rewrites the files.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "tests/request/fake_fleet.h"

namespace marjoramhall::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A small fleet after its start-up, with a trace of its decisions on requests.
class TracedFleet {
 public:
  TracedFleet() : fleet_(MakeOptions()) { fleet_.RunFor(seconds(5)); }

  FakeFleet& fleet() { return fleet_; }
  void AddNote(const std::string& text) { out_ << "# " << text << '\n'; }

  std::string Finish() {
    for (size_t i = 0; i < fleet_.submissions(); ++i) {
      out_ << "submission " << i << ": " << fleet_.EndOfSubmission(i) << '\n';
    }
    for (const std::string& it : fleet_.violations()) {
      out_ << "fault: " << it << '\n';
    }
    return out_.str();
  }

 private:
  FleetOptions MakeOptions() {
    FleetOptions options;
    options.vms = 3;
    options.targets = 3;
    options.slots = 2;
    options.trace = [this](TimePoint now, size_t vm, const Decision& it) {
      if (it.kind != DecisionKind::kRouteRequest &&
          it.kind != DecisionKind::kRefuseRequest &&
          it.kind != DecisionKind::kEndRequest) {
        return;
      }
      out_ << std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
                      .count() -
                  1000000
           << " ms vm " << vm << ' ' << NameOf(it.kind) << ' ' << it.subject
           << " target " << ToInteger(it.target) << ' ' << it.outcome << ' '
           << it.reason << '\n';
    };
    return options;
  }

  std::ostringstream out_;
  FakeFleet fleet_;
};

void ExpectGolden(const std::string& name, const std::string& text) {
  const std::string path =
      std::string(MARJORAMHALL_TEST_DIR) + "/golden/" + name + ".txt";
  if (std::getenv("MARJORAMHALL_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << text;
  }
  std::ifstream file(path);
  std::stringstream expected;
  expected << file.rdbuf();
  EXPECT_EQ(text, expected.str()) << path;
}

// Guards against a key that runs twice when two VMs get it at the same time.
TEST(RequestGoldenTest, ConcurrentDuplicatesOfOneKey) {
  TracedFleet traced;
  FakeFleet& fleet = traced.fleet();
  traced.AddNote("the quote is submitted twice at once at two VMs");
  fleet.SubmitOnce(0, "quote", 1, true);
  fleet.SubmitOnce(1, "quote", 1, false);
  fleet.RunFor(seconds(1));
  traced.AddNote("and once more after its answer");
  fleet.SubmitOnce(2, "quote", 1, false);
  fleet.RunFor(seconds(1));
  EXPECT_EQ(fleet.Executions("quote"), 1U);
  ExpectGolden("doubled_quote", traced.Finish());
}

// Guards against a key that runs again after the VM that ran it has died.
TEST(RequestGoldenTest, VmKilledDuringRequests) {
  TracedFleet traced;
  FakeFleet& fleet = traced.fleet();
  fleet.service_time = [] { return milliseconds(300); };
  traced.AddNote("VM 0 is killed while its quote and its pull run");
  fleet.SubmitOnce(0, "quote", 1, true);
  fleet.SubmitOnce(0, "", 0, true);
  fleet.RunFor(milliseconds(100));
  fleet.Kill(0);
  fleet.RunFor(milliseconds(100));
  traced.AddNote("the caller submits both again at VM 1");
  fleet.SubmitOnce(1, "quote", 1, false);
  fleet.SubmitOnce(1, "", 0, true);
  fleet.RunFor(seconds(8));
  traced.AddNote("once more, after VM 0 has been removed");
  fleet.SubmitOnce(2, "quote", 1, false);
  fleet.RunFor(seconds(5));
  EXPECT_EQ(fleet.Executions("quote"), 1U);
  ExpectGolden("vm_killed", traced.Finish());
}

// Guards against drains of a VM and a target that cut running requests or
// accept new ones.
TEST(RequestGoldenTest, VmAndTargetDrain) {
  TracedFleet traced;
  FakeFleet& fleet = traced.fleet();
  fleet.service_time = [] { return milliseconds(300); };
  traced.AddNote("VM 0 drains with two requests running, target 1 drains too");
  fleet.SubmitOnce(0, "quote", 1, true);
  fleet.SubmitOnce(0, "", 0, true);
  fleet.RunFor(milliseconds(50));
  fleet.Drain(0);
  fleet.SetTargetDraining(0);
  fleet.RunFor(milliseconds(500));
  traced.AddNote("a late request at VM 0, others at VM 1");
  fleet.SubmitOnce(0, "", 0, true);
  for (int i = 0; i < 4; ++i) {
    fleet.SubmitOnce(1, "", 0, true);
  }
  fleet.SubmitOnce(1, "quote", 1, false);
  fleet.RunFor(seconds(2));
  traced.AddNote(fleet.plane(0).IsDrained() ? "VM 0 is drained"
                                            : "VM 0 is not drained");
  EXPECT_EQ(fleet.Executions("quote"), 1U);
  ExpectGolden("drain", traced.Finish());
}

}  // namespace
}  // namespace marjoramhall::request

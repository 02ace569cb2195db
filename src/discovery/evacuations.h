// The failure domains that operators have evacuated: their targets get no new
// flows until the evacuation is withdrawn. Open flows stay where they are.
//
// An operator evacuates a domain by writing a key to the store and withdraws
// the evacuation by removing the key. This class orders those changes,
// whichever way they reach this VM: watch, listing, relay or snapshot of
// another VM.
#ifndef MARJORAMHALL_DISCOVERY_EVACUATIONS_H_
#define MARJORAMHALL_DISCOVERY_EVACUATIONS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/store_position.h"
#include "src/base/time.h"
#include "src/discovery/records.h"
#include "src/discovery/snapshot_codec.h"
#include "src/forward/view.h"

namespace marjoramhall::discovery {

// What happened to an evacuation, as outcomes in the log.
inline constexpr std::string_view kDomainEvacuated = "domain-evacuated";
inline constexpr std::string_view kEvacuationWithdrawn = "evacuation-withdrawn";
inline constexpr std::string_view kEvacuationKept = "evacuation-kept";
inline constexpr std::string_view kEvacuationLapsed = "evacuation-lapsed";

class Evacuations {
 public:
  // Called with one of the outcomes above, for the log.
  using ReportHook = std::function<void(std::string_view outcome,
                                        const std::string& failure_domain,
                                        StorePosition position)>;

  // `lost_lifetime`: how long an evacuation stays in force that the store lost
  // when it was restored from an older copy.
  Evacuations(Duration lost_lifetime, ReportHook report);

  // Applies a change unless a later one of its domain is known. Returns whether
  // Mark() may have another result than before.
  bool Apply(const StoreChange& change);

  // Applies a complete listing: evacuations that it lacks are withdrawn, unless
  // they were requested after it. A listing of an earlier position than `known`
  // adds none, because one that only an old listing has was withdrawn. Returns
  // the same as Apply().
  bool ApplyListing(const Listing& listing, StorePosition known, TimePoint now);

  // Ends evacuations that the store lost. Returns the same as Apply().
  bool Tick(TimePoint now);

  // Sets which targets are evacuated. `domains` are their failure domains, in
  // the same order. An evacuation that the store lost may have been withdrawn,
  // so it does not take the last targets of a service. Of several, those that
  // were requested first yield.
  void Mark(const std::vector<std::string>& domains,
            std::vector<forward::Target>* targets) const;
  // Number of evacuated domains.
  size_t size() const;

  // Appends the changes that make these evacuations known to another VM, and
  // withdrawals that it may have missed.
  void AppendTo(Listing* listing) const;

 private:
  struct Entry {
    std::string key;         // in the store
    StorePosition position;  // of the request, or of the withdrawal
    // Set if the store has been restored from a copy that lacks the key.
    std::optional<TimePoint> lapses_at;
    // A VM that has missed the withdrawal passes the evacuation on, so that a
    // withdrawn one is remembered. Never set together with lapses_at.
    bool is_withdrawn = false;
  };

  // Returns whether Mark() may have another result than before.
  bool Withdraw(const std::string& domain,
                Entry& entry,
                StorePosition position,
                std::string_view outcome);

  const Duration lost_lifetime_;
  const ReportHook report_;
  std::map<std::string, Entry> domains_;  // by failure domain
};

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_EVACUATIONS_H_

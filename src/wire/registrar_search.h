// Choice of a process's registrar among the control VMs.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "hornbeam/clock_source.h"
#include "wire/endpoint.h"

namespace hornbeam {

// Limit of known control VMs.
inline constexpr std::size_t kMaxControlVms = 64;

// A search connects to one control VM, after each further interval to twice as
// many more, and to the next one at once when one has failed. So its time does
// not grow with the number of addresses that do not answer.
inline constexpr duration kSearchInterval = std::chrono::milliseconds(40);
// Intervals after which a search has tried all known control VMs.
inline constexpr int kSearchRounds = 6;
static_assert((std::size_t{2} << std::size_t{kSearchRounds}) - 1 >=
              kMaxControlVms);

// Time for which a search waits for a better control VM than one that is
// current. After the election of a leader its control VM is current a few
// heartbeats before the others: nodes whose own registrar is connected wait for
// that, so that they do not all move to the leader. And a control VM to which
// the node has just lost the connection is the last choice.
inline constexpr duration kBetterRegistrarWait = std::chrono::milliseconds(300);

// Longest time until a search has found a current control VM that accepts
// connections and replies within kPeerConnectTimeout.
inline constexpr duration kRegistrarSearchTime =
    kSearchRounds * kSearchInterval + kPeerConnectTimeout +
    kBetterRegistrarWait;

// How the last search went.
struct registrar_search_summary {
  duration time{0};
  std::size_t tried = 0;
  // Those of them that could not be connected to, closed the connection or
  // replied that they are not current.
  std::size_t failed = 0;
};

// Decides to which control VMs a process connects, and which of them is its
// registrar: one that has replied that it is current. Known are the configured
// control VMs, which may be gone, and those of the list that a registrar sent
// last; others are forgotten. Performs no I/O. Owned by the control client, for
// the I/O thread only.
class registrar_search {
 public:
  // How a change of the list changed the known control VMs.
  struct list_change {
    std::size_t added = 0;
    std::size_t forgotten = 0;
    std::size_t rejected = 0;  // Above kMaxControlVms.

    [[nodiscard]] bool IsEmpty() const {
      return added + forgotten + rejected == 0;
    }
  };

  // `configured` must not be empty. The search begins with the control VM at
  // `first`, modulo their number.
  registrar_search(std::span<const endpoint> configured, std::size_t first);

  // Begins the first search.
  void Start(time_point now) { BeginSearch(now); }

  // Replace the configured control VMs and those of the list that a registrar
  // sent. An empty list is ignored.
  list_change SetConfigured(std::span<const endpoint> addresses);
  list_change SetListed(std::span<const endpoint> addresses);
  // Sets the control VMs to use while they are current, most preferred first.
  void SetPreferred(std::span<const endpoint> addresses);

  // A connected control VM has said whether it is current.
  void OnOffer(const endpoint& source, bool is_current, time_point now);
  // A connection was lost or could not be opened.
  void OnDown(const endpoint& source, time_point now);
  // If the registrar is not a preferred one, connects to the first preferred
  // one that has not failed recently.
  void TryPreferred(time_point now);

  // Takes the steps that are due. Returns the time of the next one, which is
  // time_point::max() if only an event can cause one.
  time_point Advance(time_point now);

  // Returns whether the connection to a control VM is to be open.
  [[nodiscard]] bool IsOpen(const endpoint& address) const;
  // Returns std::nullopt while a search goes on.
  [[nodiscard]] const std::optional<endpoint>& Registrar() const {
    return registrar_;
  }
  // Returns the registrar, the last one or the first one to be.
  [[nodiscard]] const endpoint& LastRegistrar() const { return own_; }
  [[nodiscard]] const registrar_search_summary& LastSearch() const {
    return last_search_;
  }
  // Returns the addresses of all known control VMs.
  [[nodiscard]] std::vector<endpoint> Addresses() const;

 private:
  struct candidate {
    endpoint address;
    bool is_configured = false;
    bool is_listed = false;
    bool is_open = false;
    bool has_failed = false;  // In the current search.
    // What it last said on its open connection.
    std::optional<bool> is_current;
    std::optional<time_point> failed_at;
    // When its connection was lost while it was the registrar.
    std::optional<time_point> lost_at;
  };

  candidate* Find(const endpoint& address);
  [[nodiscard]] const candidate* Find(const endpoint& address) const;
  [[nodiscard]] bool IsPreferred(const endpoint& address) const;
  candidate* Add(const endpoint& address, list_change& change);
  void Forget(list_change& change);
  void BeginSearch(time_point now);
  void Choose(candidate& chosen, time_point now);
  // Returns the best of the control VMs for which `is_eligible`; null if there
  // is none.
  template <class Predicate>
  candidate* Best(Predicate is_eligible, time_point now);
  // Returns whether to wait for a better control VM than `offered`.
  [[nodiscard]] bool HasBetter(const candidate& offered, time_point now) const;
  [[nodiscard]] std::size_t AllowedConnections(time_point now) const;

  std::vector<candidate> candidates_;
  std::vector<endpoint> preferred_;
  std::optional<endpoint> registrar_;
  endpoint own_;
  time_point started_at_;
  std::optional<time_point> first_offer_at_;
  registrar_search_summary last_search_;
};

}  // namespace hornbeam

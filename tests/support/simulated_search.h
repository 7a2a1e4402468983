// A search for a registrar on a simulated clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "hornbeam/clock_source.h"
#include "wire/endpoint.h"
#include "wire/message_link.h"
#include "wire/registrar_search.h"

namespace hornbeam {

// When simulated nodes start.
inline constexpr time_point kStart{std::chrono::hours(1)};

// What stands at an address.
enum class address_kind : std::uint8_t {
  kCurrent,
  kIsolated,     // Says that it is not current.
  kUnreachable,  // Nothing answers.
  kRefusing,
  kSilent,   // Accepts connections and sends nothing.
  kClosing,  // Accepts connections and ends them.
  kLeaving,  // Says that it is current and ends the connection.
};

std::vector<endpoint> MakeAddresses(std::size_t count);

// The links of one node, which behave as message_link does, and the control VMs
// at the other ends.
class simulated_node {
 public:
  // Returned by Registrar() if there is none.
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  simulated_node(const std::vector<address_kind>& kinds, std::size_t first);

  registrar_search& Search() { return search_; }
  [[nodiscard]] const endpoint& Address(std::size_t index) const {
    return addresses_[index];
  }
  [[nodiscard]] time_point Now() const { return now_; }
  void SetKind(std::size_t index, address_kind kind) { kinds_[index] = kind; }
  // The link to the registrar tells that it is not current, or ends.
  void Say(std::size_t index, bool is_current) {
    search_.OnOffer(addresses_[index], is_current, now_);
  }
  void Drop(std::size_t index) { LoseConnection(index); }

  // Returns the time until the registrar is current; std::nullopt if it takes
  // longer than `limit`.
  std::optional<duration> TimeToCurrent(duration limit);
  // Runs until `until`.
  void RunUntil(time_point until);

  [[nodiscard]] std::size_t Registrar() const;
  [[nodiscard]] std::size_t Attempts() const { return attempts_; }

 private:
  enum class step : std::uint8_t { kNothing, kConnect, kOffer, kLose };
  struct link {
    bool is_open = false;
    step next = step::kNothing;
    time_point at;
  };

  time_point Step();
  void RunNextEvent(time_point limit);
  void Connect(std::size_t index);
  void Offer(std::size_t index);
  void LoseConnection(std::size_t index);

  std::vector<address_kind> kinds_;
  std::vector<endpoint> addresses_;
  std::vector<link> links_;
  std::set<std::size_t> used_;
  registrar_search search_;
  time_point now_ = kStart;
  std::size_t attempts_ = 0;
};

}  // namespace hornbeam

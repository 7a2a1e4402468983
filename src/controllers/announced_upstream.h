// State of a node's upstream as of its last announcement.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "http/http_client.h"
#include "policy/admission_queue.h"
#include "policy/concurrency_limit.h"
#include "wire/endpoint.h"

namespace hornbeam {

class clock_source;
class io_loop;

// An upstream's announcement to its own node.
struct upstream_announcement {
  std::string service;
  endpoint address;
  std::uint32_t slots = 0;
  bool draining = false;

  bool operator==(const upstream_announcement&) const = default;
};

// Client, admission queue and concurrency limit of one incarnation of the
// upstream. Owned jointly by the serving controller and the calls that run
// there, so that it outlives its replacement until the last call completes.
struct announced_upstream {
  announced_upstream(const upstream_announcement& announced,
                     std::unique_ptr<http_client> upstream_client,
                     const clock_source& clock,
                     const admission_options& options)
      : announcement(announced),
        client(std::move(upstream_client)),
        queue(clock, options),
        limit(clock, concurrency_limit_options{}) {}

  upstream_announcement announcement;
  std::unique_ptr<http_client> client;
  admission_queue queue;
  concurrency_limit limit;
};

}  // namespace hornbeam

#include "controllers/replica_host.h"

#include <utility>

#include "base/state_machine.h"
#include "controllers/replica_host_impl.h"

namespace hornbeam {

replica_host::~replica_host() = default;

result<std::unique_ptr<replica_host>, storage_error>
replica_host::MakeReplicaHost(replica_options options,
                              replica_host_dependencies dependencies) {
  auto recovered = dependencies.storage->Load();
  if (!recovered) return std::move(recovered).error();
  return std::unique_ptr<replica_host>(std::make_unique<replica_host_impl>(
      std::move(options), std::move(dependencies),
      std::move(recovered).value()));
}

}  // namespace hornbeam

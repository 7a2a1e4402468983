// Conversion of the replicated stores' results and status to wire messages.
#pragma once

#include "controllers/replica_host.h"
#include "controllers/replica_status.h"
#include "wire/messages.h"

namespace hornbeam {

// Returns the status that a store request gets for `error`.
store_status ToStoreStatus(replica_error error);
// Returns the error that `status` means for the requester; not for kDone.
replica_error ToReplicaError(store_status status);

// Returns the entry of one store in a status reply.
store_summary SummarizeStore(store_id store, const replica_status& status);

}  // namespace hornbeam

// All messages between processes of the system.
//
// A connection carries frames in both directions, and each frame holds one
// message. Both sides send hello first.
#pragma once

#include <variant>

#include "wire/call_messages.h"
#include "wire/connection_messages.h"
#include "wire/control_messages.h"

namespace hornbeam {

using message =
    std::variant<hello, ping, pong, call_start, body_chunk, call_end,
                 call_cancel, answer_ack, call_status_query,
                 call_status_pending, attempt_fence, load_probe,
                 load_probe_reply, lease_renewal, lease_granted, lease_batch,
                 lease_end, service_watch, membership_update, settings_update,
                 store_request, store_reply, replica_envelope, status_request,
                 status_reply, routing_watch, routing_update, control_list,
                 lease_keepalive, lease_batch_request, registrar_offer>;

}  // namespace hornbeam

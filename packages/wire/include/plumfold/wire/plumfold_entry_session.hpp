#pragma once

#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <string>

namespace plumfold::wire {

/// How a process presents itself to a control VM.
struct session_identity {
    std::string secret; ///< The cluster secret.
    std::string name;
    std::string failureDomain;
};

/// Opens the session of an entry on a connection to a control VM.
/// @return the session; its calls fail if the control VM rejects the identity.
EntrySession::Client openEntrySession(rpc_connection& connection, const session_identity& identity);

} // namespace plumfold::wire

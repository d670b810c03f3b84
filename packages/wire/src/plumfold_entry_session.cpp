#include "plumfold/wire/plumfold_entry_session.hpp"

namespace plumfold::wire {

EntrySession::Client openEntrySession(rpc_connection& connection, const session_identity& identity)
{
    auto request = connection.bootstrap<Control>().entryRequest();
    request.setSecret(identity.secret);
    request.setName(identity.name);
    request.setFailureDomain(identity.failureDomain);
    return request.send().getSession();
}

} // namespace plumfold::wire

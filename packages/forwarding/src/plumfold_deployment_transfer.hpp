#pragma once

#include "plumfold/core/plumfold_deployment_state.hpp"
#include "plumfold/core/plumfold_document_pieces.hpp"
#include "plumfold/core/plumfold_time.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <cstdint>
#include <functional>
#include <utility>

namespace plumfold::forwarding {

/// Fetches the document of the newest deployment in pieces. What has arrived is kept when the connection is
/// lost, so the transfer goes on at any control VM. Used on the RPC thread only.
class deployment_transfer {
public:
    /// Receives a state. Its document has no text if it is not newer than that of the former state.
    using listener = std::function<void(core::deployment_state)>;

    explicit deployment_transfer(listener onState);

    /// @return the revision that a control VM is asked to go beyond: that of the newest deployment that is
    /// known, or the one before if the control VM has to send its document as a whole.
    std::uint64_t knownRevision() const { return m_state.revision - m_needsWhole; }

    /// Applies a deployment that arrived as a whole; ignored if it is neither newer nor needed as a whole.
    void applyWhole(core::deployment_state state);
    /// Applies an outline; ignored if it is not newer. All but the document is in force at once.
    void applyOutline(core::deployment_state state, core::document_outline outline);

    /// Requests pieces that are missing, unless this is under way. Call it after each poll: a control VM that
    /// lags may not have them yet.
    void requestPieces(wire::EntrySession::Client session);
    /// @return whether a document became known or a piece arrived since the last call.
    bool hasProgressed() { return std::exchange(m_hasProgressed, false); }
    /// Forgets the requests on a connection that was lost.
    void onConnectionLost();

private:
    void requestNext(wire::EntrySession::Client session);
    void applyPieces(capnp::List<capnp::Data>::Reader pieces);
    void completeIfPossible();

    listener m_onState;
    core::deployment_state m_state; // newest known; its document has no text
    core::document_assembly m_assembly;
    std::uint64_t m_completeVersion = 0; // of the newest document that was complete
    unsigned m_callsInFlight = 0;
    bool m_hasProgressed = false;
    bool m_needsWhole = false; // the control VM is of a former version and does not send pieces
    std::uint64_t m_generation = 0; // of the connection
    core::instant m_startedAt {}; // when the current document became known
    std::size_t m_receivedBytes = 0; // of pieces of the current document, compressed
    unsigned m_connectionsLost = 0; // since then
    kj::Own<wire::task_group> m_tasks;
};

} // namespace plumfold::forwarding

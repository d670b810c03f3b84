#include "plumfold_deployment_transfer.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_compression.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace plumfold::forwarding {

namespace {

/// About 2 KiB compressed: a connection that is lost soon has brought some of them.
constexpr std::size_t piecesPerCall = 8;
/// Enough to use a link with a long queue, and little enough that polls on the same connection pass.
constexpr unsigned maxCallsInFlight = 16;
constexpr std::size_t maxPieceBytes = 64 << 10;

} // namespace

deployment_transfer::deployment_transfer(listener onState)
    : m_onState(std::move(onState))
    , m_tasks(kj::heap<wire::task_group>())
{
}

void deployment_transfer::applyWhole(core::deployment_state state)
{
    if (state.revision < m_state.revision + !m_needsWhole)
        return;
    m_needsWhole = false;
    m_completeVersion = state.document.version;
    m_state = state;
    m_state.document.text.clear();
    m_onState(std::move(state));
}

void deployment_transfer::applyOutline(core::deployment_state state, core::document_outline outline)
{
    if (state.revision <= m_state.revision)
        return;
    if (state.document.version != m_state.document.version) {
        m_startedAt = runtime::now();
        m_receivedBytes = 0;
        m_connectionsLost = 0;
        m_assembly.start(std::move(outline));
        m_hasProgressed = true;
    }
    m_state = std::move(state);
    auto atOnce = m_state;
    atOnce.document.version = m_completeVersion;
    if (m_completeVersion > 0)
        m_onState(std::move(atOnce));
    completeIfPossible();
}

void deployment_transfer::requestPieces(wire::EntrySession::Client session)
{
    bool isComplete = m_completeVersion == m_state.document.version || m_assembly.isComplete();
    if (m_callsInFlight > 0 || isComplete || m_needsWhole)
        return;
    m_assembly.resetRequests();
    while (m_callsInFlight < maxCallsInFlight) {
        auto before = m_callsInFlight;
        requestNext(session);
        if (m_callsInFlight == before)
            return;
    }
}

void deployment_transfer::requestNext(wire::EntrySession::Client session)
{
    auto digests = m_assembly.request(piecesPerCall);
    if (digests.empty())
        return;
    auto call = session.readPiecesRequest();
    auto out = call.initDigests(digests.size());
    for (unsigned index = 0; index < digests.size(); ++index)
        out.set(index, digests[index]);
    ++m_callsInFlight;
    auto generation = m_generation;
    m_tasks->add(call.send().dropPipeline().then(
        [this, session, generation](capnp::Response<wire::EntrySession::ReadPiecesResults> response) mutable {
            if (generation != m_generation)
                return;
            --m_callsInFlight;
            applyPieces(response.getPieces());
            requestNext(session);
        },
        [this, generation](kj::Exception&& exception) {
            if (generation != m_generation)
                return;
            --m_callsInFlight;
            m_needsWhole = exception.getType() == kj::Exception::Type::UNIMPLEMENTED;
            runtime::log_event("deployment_pieces_lost", runtime::log_level::warning)
                .with("revision", m_state.revision)
                .with("reason", exception.getDescription().cStr());
        }));
}

void deployment_transfer::applyPieces(capnp::List<capnp::Data>::Reader pieces)
{
    for (auto each : pieces) {
        auto chars = each.asChars();
        m_receivedBytes += chars.size();
        m_hasProgressed = true;
        auto text = runtime::decompress({ chars.begin(), chars.size() }, maxPieceBytes);
        if (text)
            m_assembly.add(std::move(*text));
        else
            runtime::log_event("deployment_piece_damaged", runtime::log_level::warning)
                .with("revision", m_state.revision)
                .with("bytes", chars.size());
    }
    completeIfPossible();
}

void deployment_transfer::completeIfPossible()
{
    if (m_completeVersion == m_state.document.version || !m_assembly.isComplete())
        return;
    auto text = m_assembly.takeText();
    if (!text) {
        runtime::log_event("deployment_damaged", runtime::log_level::warning)
            .with("revision", m_state.revision)
            .with("version", m_state.document.version);
        return;
    }
    m_completeVersion = m_state.document.version;
    auto took = std::chrono::duration_cast<core::milliseconds>(runtime::now() - m_startedAt);
    runtime::log_event("deployment_received")
        .with("revision", m_state.revision)
        .with("version", m_state.document.version)
        .with("bytes", text->size())
        .with("received_bytes", m_receivedBytes)
        .with("connections_lost", m_connectionsLost)
        .with("took_ms", took.count());
    auto state = m_state;
    state.document.text = std::move(*text);
    m_onState(std::move(state));
}

void deployment_transfer::onConnectionLost()
{
    ++m_generation;
    ++m_connectionsLost;
    m_needsWhole = false;
    m_callsInFlight = 0;
    m_assembly.resetRequests();
}

} // namespace plumfold::forwarding

#pragma once

#include "plumfold_asio.hpp"
#include "plumfold_control_outbox.hpp"
#include "plumfold_control_sessions.hpp"

#include "plumfold/core/plumfold_stream_origin.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plumfold::forwarding {

/// Tells control VMs where streams began, and asks them where a stream began that a caller takes up. Its
/// public methods are called on the event loop thread; the connections belong to the RPC thread.
class stream_origin_client {
public:
    stream_origin_client(asio::io_context& io, wire::rpc_thread& rpc, control_sessions& sessions,
        const runtime::settings& settings);
    ~stream_origin_client() { stop(); }

    /// Ends all calls. The sessions are not used afterwards.
    void stop();

    /// Records where a stream began: here at once, and without waiting at two control VMs, so that it is
    /// known after the loss of this entry and of either of them.
    void record(core::stream_record record);

    /// Searches the origin of a stream.
    /// @param stream 0: unknown, only the software versions decide.
    /// @param service the only service that can have begun it; empty: there are several.
    /// @return the answers that came in time.
    task<core::origin_search> find(std::uint64_t stream, std::string service);

private:
    struct search;

    std::vector<std::string> holders() const;
    kj::Promise<void> sendRecords(
        wire::EntrySession::Client& session, const control_outbox<core::stream_record>::entries& due);
    void startSearch(std::shared_ptr<search> search);
    void finishSearch(const std::shared_ptr<search>& search);
    kj::Promise<void> ask(const std::string& address, std::shared_ptr<search> search);

    asio::io_context& m_io;
    wire::rpc_thread& m_rpc;
    control_sessions& m_sessions; // used on the RPC thread only
    const runtime::settings& m_settings;

    // Used on the RPC thread only.
    core::stream_origin_table m_own;
    std::unique_ptr<control_outbox<core::stream_record>> m_records; // of this entry
    kj::Own<wire::task_group> m_tasks;
};

} // namespace plumfold::forwarding

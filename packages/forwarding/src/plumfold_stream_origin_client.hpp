#pragma once

#include "plumfold_asio.hpp"

#include "plumfold/core/plumfold_stream_origin.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plumfold::forwarding {

/// Tells control VMs where streams began, and asks them where a stream began that a caller takes up. Its
/// public methods are called on the event loop thread; the connections belong to the RPC thread.
class stream_origin_client {
public:
    stream_origin_client(asio::io_context& io, wire::rpc_thread& rpc, const runtime::settings& settings);
    ~stream_origin_client();

    /// Sets the control VMs that are in service.
    /// @param domains failure domain by address (ip:port) of the RPC interface.
    void setControl(const std::map<std::string, std::string>& domains);

    /// Records where a stream began: here at once, and without waiting at two control VMs, so that it is
    /// known after the loss of this entry and of either of them.
    void record(core::stream_record record);

    /// Searches the origin of a stream.
    /// @param stream 0: unknown, only the software versions decide.
    /// @param service the only service that can have begun it; empty: there are several.
    /// @return the answers that came in time.
    task<core::origin_search> find(std::uint64_t stream, std::string service);

private:
    /// A control VM.
    struct link {
        std::string failureDomain;
        bool isInService = false;
        core::instant seenAt {}; // until when it was in service, if it no longer is
        kj::Own<wire::rpc_connection> connection;
        kj::Maybe<wire::EntrySession::Client> session;
        std::uint64_t recordsSent = 0; // number of the last record that the control VM has
        bool isSending = false;
        core::instant failedAt {};
        bool isFailing = false; // the latest call failed
    };
    /// A record of this entry that may have to be sent again.
    struct own_record {
        std::uint64_t number = 0;
        core::stream_record record;
        core::instant keptUntil {};
    };
    struct search;

    kj::Promise<wire::EntrySession::Client> sessionAt(const std::string& address);
    void drop(const std::string& address, const kj::Exception& reason);
    std::vector<std::string> holders() const;
    void sendRecords();
    void sendRecordsTo(const std::string& address, link& to);
    void startSearch(std::shared_ptr<search> search);
    void finishSearch(const std::shared_ptr<search>& search);
    kj::Promise<void> ask(const std::string& address, std::shared_ptr<search> search);
    kj::Promise<void> retryLoop();

    asio::io_context& m_io;
    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    std::map<std::string, std::string> m_lastControl; // as last set

    // Used on the RPC thread only.
    std::map<std::string, link> m_links; // by address
    core::stream_origin_table m_own;
    std::deque<own_record> m_records; // by number
    std::uint64_t m_latestRecord = 0;
    kj::Own<wire::task_group> m_tasks;
};

} // namespace plumfold::forwarding

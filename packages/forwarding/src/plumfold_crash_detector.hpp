#pragma once

#include "plumfold_asio.hpp"
#include "plumfold_target_connection_pool.hpp"

#include "plumfold/core/plumfold_time.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace plumfold::forwarding {

/// Finds out whether a target has ended after a connection to it was lost. A target that only broke off an
/// answer, or one whose connections were cut, is told apart. Used on the event loop thread only.
class crash_detector {
public:
    crash_detector(asio::io_context& io, target_connection_pool& connections)
        : m_io(io)
        , m_connections(connections)
    {
    }

    /// @param startedAt incarnation of the target.
    /// @param address ip:port
    /// @return whether the target refuses connections and has closed all those of this entry.
    task<bool> hasEnded(std::string target, core::unix_milliseconds startedAt, std::string address);

    /// Forgets targets that ended long ago.
    void expire(core::instant now);

private:
    struct probe {
        explicit probe(asio::io_context& io)
            : finished(io)
        {
        }
        asio::steady_timer finished; // cancelled by the result
        bool isFinished = false;
        bool hasEnded = false;
        core::instant startedAt {};
    };
    enum class probe_result {
        refused,
        connected, ///< And kept open.
        closed, ///< Each time.
        no_answer,
    };

    static const char* resultName(probe_result result);
    task<probe_result> probeAddress(asio::ip::tcp::endpoint address);

    using incarnation = std::pair<std::string, core::unix_milliseconds>;

    asio::io_context& m_io;
    target_connection_pool& m_connections;
    std::map<incarnation, std::shared_ptr<probe>> m_probes; // running ones, and those of ended targets
};

} // namespace plumfold::forwarding

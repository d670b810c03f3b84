#pragma once

#include "plumfold/core/plumfold_message_budget.hpp"

#include <kj/async.h>
#include <kj/timer.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace plumfold::wire {

/// The RPC messages that a process is receiving or handling, and the limit of their memory. Use it on the
/// event loop of its rpc_thread.
class incoming_messages : public std::enable_shared_from_this<incoming_messages>,
                          private kj::TaskSet::ErrorHandler {
public:
    /// The memory of a message; destroy it when the message is destroyed.
    class reservation {
    public:
        reservation(std::shared_ptr<incoming_messages> owner, std::uint64_t number);
        ~reservation();
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        /// Bytes of the message have arrived.
        void receive();
        /// The message has been received as a whole.
        void complete();

    private:
        std::shared_ptr<incoming_messages> m_owner;
        std::uint64_t m_number;
    };

    struct admission {
        kj::Own<reservation> memory;
        kj::Promise<void> refused; ///< Rejected if the message has to be given up while it is received.
    };

    explicit incoming_messages(kj::Timer& timer);

    /// Announces a message before its memory is taken.
    /// @param peer its sender, for the log.
    /// @return its admission; rejected if the message is too large or there is no room in time.
    kj::Promise<admission> announce(std::uint64_t bytes, const std::string& peer);

private:
    struct message {
        std::uint64_t bytes;
        std::string peer;
        kj::Own<kj::PromiseFulfiller<void>> admitted;
        kj::Own<kj::PromiseFulfiller<void>> refused;
        bool isAdmitted = false;
    };

    void taskFailed(kj::Exception&&) override { }
    void release(std::uint64_t number);
    void decide();
    void refuse(message& message);
    void logRefusal(const std::string& peer, std::uint64_t bytes, const char* reason);

    kj::Timer& m_timer;
    core::message_budget m_budget;
    std::map<std::uint64_t, message> m_messages;
    std::uint64_t m_unloggedRefusals = 0;
    core::instant m_latestLogAt;
    bool m_hasLogged = false;
    bool m_isTicking = false;
    kj::TaskSet m_ticks;
};

} // namespace plumfold::wire

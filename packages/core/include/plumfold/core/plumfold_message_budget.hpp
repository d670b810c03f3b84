#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace plumfold::core {

struct message_budget_options {
    /// Largest message of a sound sender: a snapshot or a raft entry with the largest document. Its receiver
    /// keeps several copies of it for a moment, so larger ones do not fit a machine with 256 MB.
    std::size_t maxMessageBytes = 32 << 20;
    /// Of all messages together that are being received or handled: two of the largest size, or sixteen
    /// documents of 4 MiB.
    std::size_t allMessagesBytes = 64 << 20;
    /// Messages up to this size are admitted at once, so that heartbeats, polls and pieces of deployments
    /// never wait for large messages.
    std::size_t smallMessageBytes = 64 << 10;
    /// How long a message waits before it is refused.
    milliseconds maxWait { 5'000 };
    /// A message that receives nothing for so long while another one waits is refused.
    milliseconds maxSilence { 2'000 };
    /// A message that takes longer to be received while another one waits is refused. Links of 0.2 MB/s
    /// carry a document of 4 MiB in 21 s.
    milliseconds maxReception { 30'000 };
};

/// What becomes of messages.
struct message_decisions {
    std::vector<std::uint64_t> admitted; ///< May be received now.
    std::vector<std::uint64_t> refused; ///< Have to be given up; they are known no longer.

    bool operator==(const message_decisions&) const = default;
};

/// Limits the memory of all messages together that one process is receiving or handling. A message counts
/// with its announced size from its admission until it is released.
class message_budget {
public:
    explicit message_budget(message_budget_options options = {});

    /// @return whether a message may have this size at all.
    bool isAllowed(std::size_t bytes) const { return bytes <= m_options.maxMessageBytes; }

    /// Announces a message.
    /// @param bytes its size, which must be allowed.
    /// @return its number. It waits until decide() admits or refuses it.
    std::uint64_t announce(std::size_t bytes, instant now);

    /// Bytes of an admitted message have arrived.
    void receive(std::uint64_t number, instant now);

    /// An admitted message has been received as a whole. From then on it is never refused.
    void complete(std::uint64_t number);

    /// A message needs no memory any more, in whatever state it is.
    void release(std::uint64_t number);

    /// Admits waiting messages, the smallest first, and refuses those whose time is over. Call it after
    /// announce() and release(), and repeatedly while hasWaiting().
    message_decisions decide(instant now);

    /// @return whether messages wait to be admitted.
    bool hasWaiting() const;

    /// @return the bytes of admitted messages, small ones not included.
    std::size_t usedBytes() const { return m_usedBytes; }

private:
    enum class message_state { waiting, receiving, complete };

    struct message {
        std::size_t bytes = 0;
        message_state state = message_state::waiting;
        instant since; ///< Of the wait, then of the reception.
        instant latestAt; ///< When the latest bytes arrived.
    };

    bool isSmall(const message& message) const { return message.bytes <= m_options.smallMessageBytes; }
    bool isLate(const message& message, instant now) const;
    void admit(message_decisions& decisions, instant now);
    void refuseLate(message_decisions& decisions, instant now);

    message_budget_options m_options;
    std::map<std::uint64_t, message> m_messages;
    std::uint64_t m_latestNumber = 0;
    std::size_t m_usedBytes = 0;
    instant m_contendedSince; ///< Since when messages wait, seen without a pause of the process.
    instant m_latestDecisionAt;
    bool m_isContended = false;
};

} // namespace plumfold::core

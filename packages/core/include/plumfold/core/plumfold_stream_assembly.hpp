#pragma once

#include <cstdint>

namespace plumfold::core {

/// What to do with a token received from a target.
enum class token_verdict {
    deliver,
    duplicate, ///< Already delivered; drop it.
    gap, ///< An earlier token is missing; the attempt must be abandoned.
};

/// Assembles the tokens of one answer in order across several attempts.
class stream_assembly {
public:
    /// @param index zero-based position of the token in the answer.
    token_verdict accept(std::uint32_t index)
    {
        if (index < m_next)
            return token_verdict::duplicate;
        if (index > m_next)
            return token_verdict::gap;
        ++m_next;
        return token_verdict::deliver;
    }

    /// @return the position of the next token, where a new attempt has to continue.
    std::uint32_t next() const { return m_next; }

private:
    std::uint32_t m_next = 0;
};

} // namespace plumfold::core

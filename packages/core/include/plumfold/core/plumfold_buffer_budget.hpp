#pragma once

#include <cstddef>

namespace plumfold::core {

/// Memory for buffers of unknown final size, shared by all requests of a process. A buffer may grow up to the
/// memory that is still free, so that large ones leave room for others, however many there are.
class buffer_budget {
public:
    /// A buffer up to this size is not counted, unless the constructor is told otherwise.
    static constexpr std::size_t smallBufferBytes = 16 << 10;

    /// @param totalBytes limit of all counted bytes.
    /// @param uncountedBytes of each buffer.
    explicit buffer_budget(std::size_t totalBytes, std::size_t uncountedBytes = smallBufferBytes)
        : m_totalBytes(totalBytes)
        , m_uncountedBytes(uncountedBytes)
    {
    }

    std::size_t usedBytes() const { return m_usedBytes; }

    /// @return the size beyond which a buffer has no room even if there is no other one.
    std::size_t maxBufferBytes() const { return m_uncountedBytes + m_totalBytes / 2; }

private:
    friend class buffer_share;

    std::size_t m_totalBytes;
    std::size_t m_uncountedBytes;
    std::size_t m_usedBytes = 0;
};

/// The part of a buffer_budget that one buffer uses, until destruction.
class buffer_share {
public:
    explicit buffer_share(buffer_budget& budget)
        : m_budget(budget)
    {
    }
    ~buffer_share() { resize(0); }
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    /// Changes the size of the buffer. Shrinking is always allowed.
    /// @return whether the buffer may have this size; if not, its part of the budget is unchanged.
    bool resize(std::size_t bytes);

private:
    buffer_budget& m_budget;
    std::size_t m_countedBytes = 0;
};

} // namespace plumfold::core

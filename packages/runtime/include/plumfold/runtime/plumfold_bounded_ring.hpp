#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace plumfold::runtime {

/// Bounded ring buffer that passes items between threads, guarded by a mutex. pop() waits for an
/// item, tryPush() does not wait for space.
template <class T> class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity)
        : m_items(capacity)
    {
    }

    /// @return false when the ring is full or closed, which drops the item.
    bool tryPush(T item)
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_closed || m_count == m_items.size())
                return false;
            m_items[(m_first + m_count) % m_items.size()] = std::move(item);
            ++m_count;
        }
        m_changed.notify_one();
        return true;
    }

    /// Removes the oldest item; items that were pushed before close() can still be read.
    /// @return the item, or nothing when none arrives within the timeout or the ring is closed and empty.
    std::optional<T> pop(std::chrono::steady_clock::duration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, timeout, [this] { return m_count > 0 || m_closed; });
        if (m_count == 0)
            return std::nullopt;
        std::optional<T> item(std::move(m_items[m_first]));
        m_items[m_first] = T();
        m_first = (m_first + 1) % m_items.size();
        --m_count;
        return item;
    }

    /// Wakes blocked readers; later pushes fail.
    void close()
    {
        {
            std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_changed.notify_all();
    }

    std::size_t size() const
    {
        std::lock_guard lock(m_mutex);
        return m_count;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<T> m_items;
    std::size_t m_first = 0;
    std::size_t m_count = 0;
    bool m_closed = false;
};

} // namespace plumfold::runtime

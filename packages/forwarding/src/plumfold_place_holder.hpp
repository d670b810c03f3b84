#pragma once

#include "plumfold/core/places/plumfold_place_types.hpp"

#include <utility>

namespace plumfold::forwarding {

class place_client;

/// Owns a place on a target, and ends it as unused when destroyed. Used on the event loop thread.
class place_holder {
public:
    /// Holds no place.
    place_holder() = default;
    place_holder(place_client& client, core::place_id id)
        : m_client(&client)
        , m_id(id)
    {
    }
    ~place_holder() { end(core::place_outcome::unused); }
    place_holder(place_holder&& other) noexcept
        : m_client(std::exchange(other.m_client, nullptr))
        , m_id(other.m_id)
    {
    }
    place_holder& operator=(place_holder&& other) noexcept
    {
        if (this != &other) {
            end(core::place_outcome::unused);
            m_client = std::exchange(other.m_client, nullptr);
            m_id = other.m_id;
        }
        return *this;
    }

    explicit operator bool() const { return m_client != nullptr; }

    /// Ends the place, if one is held.
    void end(core::place_outcome outcome);

private:
    place_client* m_client = nullptr; // null: holds no place
    core::place_id m_id;
};

} // namespace plumfold::forwarding

#pragma once

#include "plumfold_forwarding_system.hpp"

#include <chrono>
#include <thread>

namespace plumfold::tests {

/// @return whether the first entry serves a request.
inline bool isServed(forwarding_system& system)
{
    return system.request(1, "/shop/whole").status == 200;
}

/// @return whether no request is served for a time.
inline bool staysOut(forwarding_system& system, std::chrono::milliseconds time)
{
    for (auto until = std::chrono::steady_clock::now() + time; std::chrono::steady_clock::now() < until;) {
        if (isServed(system))
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return true;
}

} // namespace plumfold::tests

#pragma once

#include <chrono>
#include <cstdint>

namespace plumfold::core {

/// Monotonic time. The core library never reads a clock; callers pass the current time.
using instant = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// Wall-clock time in Unix milliseconds, for times that outlive a process.
using unix_milliseconds = std::uint64_t;

} // namespace plumfold::core

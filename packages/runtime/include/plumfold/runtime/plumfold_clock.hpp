#pragma once

#include "plumfold/core/plumfold_time.hpp"

namespace plumfold::runtime {

/// @return monotonic time, unaffected by changes of the wall clock.
core::instant now();

/// @return monotonic time that includes suspensions of the machine; not comparable with now().
core::instant nowWithSuspension();

/// @return wall-clock time in Unix milliseconds.
core::unix_milliseconds unixNow();

/// @return wall-clock time in Unix nanoseconds.
std::uint64_t unixNowNanoseconds();

} // namespace plumfold::runtime

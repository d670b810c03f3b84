#include "plumfold/runtime/plumfold_clock.hpp"

#include <ctime>

namespace plumfold::runtime {

core::instant now()
{
    return std::chrono::steady_clock::now();
}

core::instant nowWithSuspension()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return core::instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

std::uint64_t unixNowNanoseconds()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

core::unix_milliseconds unixNow()
{
    constexpr std::uint64_t nanosecondsPerMillisecond = 1'000'000;
    return unixNowNanoseconds() / nanosecondsPerMillisecond;
}

} // namespace plumfold::runtime

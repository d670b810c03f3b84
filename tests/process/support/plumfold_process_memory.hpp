#pragma once

#include <cstddef>
#include <fstream>
#include <string>

namespace plumfold::tests {

/// @param name of a line of the process' status that states a size, with its colon.
/// @return the size in bytes; 0 if there is no such line.
inline std::size_t statusBytesOf(int process, const std::string& name)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(name))
            return std::stoul(line.substr(name.size())) << 10;
    }
    return 0;
}

/// @return the largest resident size that a process has had, in bytes.
inline std::size_t peakBytesOf(int process)
{
    return statusBytesOf(process, "VmHWM:");
}

/// @return the resident size of a process, in bytes.
inline std::size_t residentBytesOf(int process)
{
    return statusBytesOf(process, "VmRSS:");
}

} // namespace plumfold::tests

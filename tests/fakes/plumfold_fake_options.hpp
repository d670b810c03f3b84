#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::fakes {

/// Command line of a fake target.
struct fake_options {
    std::string name;
    std::string address;
    std::string failureDomain;
    std::vector<std::string> entries; ///< Where it announces itself.
    std::string model = "base";
    std::string version = "v1";
    std::vector<std::string> adapters;
    std::string service; ///< Name of the service, for a fake service.
    std::uint32_t maxBatch = 8;
    std::uint32_t prefillMicrosecondsPerToken = 100;
    std::uint32_t tokenMicroseconds = 2000;
    std::uint32_t cacheBlocks = 4096;
    std::uint32_t coldRequests = 0; ///< Requests that a cold start takes.
    std::uint32_t coldConcurrencyLimit = 1; ///< Requests at the same time that crash a cold target.
    std::uint32_t announceMs = 250;
    std::uint32_t linkBytesPerSecond = 125'000'000;
    bool ignoreFencing = false; ///< Takes orders whatever their number.
    std::uint32_t loadMs = 300; ///< What loading a weight version takes.
    std::string badVersion; ///< A version that never comes up.
    std::string logFile; ///< One line per run, for tests.
};

/// Reads the command line.
/// @return the options; ends the process on bad arguments.
fake_options parseFakeOptions(int argc, char** argv);

} // namespace plumfold::fakes

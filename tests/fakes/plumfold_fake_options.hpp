#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::fakes {

/// Command-line options of a fake engine or service.
struct fake_options {
    std::string name;
    std::string address;
    std::string failureDomain;
    std::vector<std::string> entries; ///< Addresses of the entries that receive its announcements.
    std::string model = "base";
    std::string version = "v1";
    std::vector<std::string> adapters;
    std::string service; ///< Name of the service that a fake service offers.
    std::uint32_t maxBatch = 8;
    std::uint32_t prefillMicrosecondsPerToken = 100;
    std::uint32_t tokenMicroseconds = 2000;
    std::uint32_t cacheBlocks = 4096;
    std::uint32_t coldRequests = 0; ///< Requests until a cold start is over; 0 starts warm.
    std::uint32_t coldConcurrencyLimit = 1; ///< Concurrent requests above this crash a cold target.
    std::uint32_t announceMs = 250;
    std::uint32_t linkBytesPerSecond = 125'000'000;
    bool ignoreFencing = false; ///< Accepts orders with any fencing token.
    std::uint32_t loadMs = 300; ///< Time to load a weight version.
    std::string badVersion; ///< A weight version that never loads.
    std::string logFile; ///< Receives one line per run, order and other event, for tests.
};

/// Parses the command line. Exits the process on invalid arguments or --help.
/// @return the options.
fake_options parseFakeOptions(int argc, char** argv);

} // namespace plumfold::fakes

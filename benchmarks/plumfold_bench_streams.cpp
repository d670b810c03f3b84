// Measures the journal of streams at the rate of the design target: processor time, bytes and syncs.

#include "support/plumfold_process_usage.hpp"

#include "plumfold_stream_journal.hpp"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <thread>
#include <unistd.h>

namespace {

using namespace plumfold;
using namespace std::chrono_literals;

/// 4,200 streams a second, recorded at two of seven control VMs.
constexpr int recordsPerSecond = 1'200;
constexpr auto duration = 5s;
constexpr auto interval = 10ms;

} // namespace

int main()
{
    std::string folder = (std::filesystem::temp_directory_path() / "plumfold-bench-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr)
        return EXIT_FAILURE;
    std::uint64_t number = 0;
    double before = benchmarks::cpuSeconds(::getpid());
    {
        control::stream_journal journal(folder);
        auto until = std::chrono::steady_clock::now() + duration;
        for (auto next = std::chrono::steady_clock::now(); next < until; next += interval) {
            std::this_thread::sleep_until(next);
            for (int count = 0; count < recordsPerSecond * interval / 1s; ++count)
                journal.append({ ++number, { "yearbook-writers", "v1.24.3" }, core::milliseconds(14'000) });
        }
    }
    double used = benchmarks::cpuSeconds(::getpid()) - before;
    std::uintmax_t bytes = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder))
        bytes += file.file_size();
    std::cout << "stream journal at " << recordsPerSecond
              << " records a second: " << 100 * used / std::chrono::duration<double>(duration).count()
              << " % of a core, " << static_cast<double>(bytes) / static_cast<double>(number)
              << " bytes a record\n";
    auto startedAt = std::chrono::steady_clock::now();
    auto left = control::stream_journal(folder).takeRecords().size();
    std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - startedAt;
    std::cout << "stream journal read at a start: " << left << " records in " << took.count() << " ms\n";
    std::filesystem::remove_all(folder);
    return left == number ? EXIT_SUCCESS : EXIT_FAILURE;
}

// Benchmarks the control node: commit latency against synced writes to the same disk, throughput, restart
// time and size of the state after many changes.

#include "support/plumfold_process_usage.hpp"

#include "plumfold/control/plumfold_control_node.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <string>
#include <unistd.h>
#include <vector>

namespace {

using namespace plumfold;
using clock_type = std::chrono::steady_clock;

double secondsSince(clock_type::time_point start)
{
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

template <class T> class promise_completion : public control::completion<T> {
public:
    std::future<T> future() { return m_promise.get_future(); }
    void done(T answer) override { m_promise.set_value(std::move(answer)); }

private:
    std::promise<T> m_promise;
};

std::unique_ptr<control::control_node> openNode(const std::string& folder, std::uint64_t snapshotEvery)
{
    control::control_node_options options;
    options.name = "a";
    options.snapshotEveryEntries = snapshotEvery;
    auto log = control::durable_log::open(folder, 0);
    return std::make_unique<control::control_node>(
        options, std::move(*log), [](std::vector<core::raft_message>) {}, [](control::control_view) {},
        [](const std::string&) {});
}

std::future<control::propose_response> propose(control::control_node& node, core::command what)
{
    auto completion = std::make_unique<promise_completion<control::propose_response>>();
    auto future = completion->future();
    node.post(control::propose_event { std::move(what), std::move(completion) });
    return future;
}

void waitForLeader(control::control_node& node)
{
    while (!propose(node, { 0, core::barrier_command {} }).get().accepted)
        ::usleep(10'000);
}

core::command change(std::uint64_t number)
{
    core::change_command what { "op", std::to_string(number), number,
        core::record(
            core::target_record { "target-" + std::to_string(number % 910), number % 2 == 0, false }) };
    return { 0, std::move(what) };
}

double plainSyncMicroseconds(const std::string& folder)
{
    int file = ::open((folder + "/plain").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    std::vector<double> times;
    std::string bytes(200, 'x');
    for (int count = 0; count < 500; ++count) {
        auto start = clock_type::now();
        if (::write(file, bytes.data(), bytes.size()) < 0 || ::fdatasync(file) != 0)
            break;
        times.push_back(secondsSince(start) * 1e6);
    }
    ::close(file);
    std::nth_element(times.begin(), times.begin() + 250, times.end());
    return times[250];
}

} // namespace

int main()
{
    auto folder = (std::filesystem::temp_directory_path() / "plumfold-bench-XXXXXX").string();
    folder = ::mkdtemp(folder.data());
    double plain = plainSyncMicroseconds(folder);
    {
        auto node = openNode(folder + "/a", 1'000'000'000);
        auto completion = std::make_unique<promise_completion<control::propose_response>>();
        auto formed = completion->future();
        node->post(control::bootstrap_event { std::move(completion) });
        formed.get();
        std::vector<double> times;
        for (std::uint64_t number = 0; number < 500; ++number) {
            auto start = clock_type::now();
            propose(*node, change(number)).get();
            times.push_back(secondsSince(start) * 1e6);
        }
        std::nth_element(times.begin(), times.begin() + 250, times.end());
        std::printf("control: plain_sync_us=%.0f commit_us=%.0f ratio=%.2f (one voter, medians of 500)\n",
            plain, times[250], times[250] / plain);
    }
    std::uint64_t number = 500;
    for (std::uint64_t total : { 10'000ull, 30'000ull, 100'000ull }) {
        {
            auto node = openNode(folder + "/a", 10'000);
            waitForLeader(*node);
            auto start = clock_type::now();
            std::uint64_t before = number;
            std::vector<std::future<control::propose_response>> pending;
            while (number < total) {
                pending.push_back(propose(*node, change(number++)));
                if (pending.size() < 512)
                    continue;
                for (auto& each : pending)
                    each.get();
                pending.clear();
            }
            for (auto& each : pending)
                each.get();
            std::printf("control: changes_per_s=%.0f (512 in flight)\n",
                static_cast<double>(number - before) / secondsSince(start));
        }
        auto start = clock_type::now();
        auto node = openNode(folder + "/a", 10'000);
        waitForLeader(*node);
        std::printf("control: restart_after_changes=%llu seconds=%.2f resident_mb=%.0f folder_mb=%.1f\n",
            static_cast<unsigned long long>(total), secondsSince(start),
            plumfold::benchmarks::residentMegabytes(::getpid()),
            static_cast<double>(std::filesystem::file_size(folder + "/a/log")
                + (std::filesystem::exists(folder + "/a/snapshot")
                        ? std::filesystem::file_size(folder + "/a/snapshot")
                        : 0))
                / (1 << 20));
    }
    std::filesystem::remove_all(folder);
    return 0;
}

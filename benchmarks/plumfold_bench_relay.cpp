// Benchmarks streamed completions through an entry: added time to first token against direct requests to the
// fake engine, measured in pairs, tokens per second, CPU time, and memory with open streams. tools/bench.sh
// starts the system and this program.

#include "support/plumfold_process_usage.hpp"

#include "plumfold/client/plumfold_http_caller.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using namespace plumfold;
using clock_type = std::chrono::steady_clock;

struct relay_options {
    std::string entry;
    std::string engine;
    std::string key;
    int entryPid = 0;
};

client::call_request requestFor(
    const relay_options& options, bool direct, const std::string& prompt, std::uint32_t tokens)
{
    client::call_request request;
    request.path = "/v1/completions";
    request.address = direct ? options.engine : options.entry;
    request.apiKey = options.key;
    if (!direct) {
        request.body = client::completionBody("base", prompt, tokens, true);
        return request;
    }
    nlohmann::json body { { "request_id", prompt }, { "model", "base" }, { "version", "v1" },
        { "prompt", prompt }, { "max_tokens", tokens }, { "chain", nlohmann::json::array() } };
    request.body = body.dump();
    return request;
}

double firstTokenMs(const relay_options& options, bool direct, int number)
{
    auto request = requestFor(options, direct, "pair " + std::to_string(number), 4);
    auto start = clock_type::now();
    request.disconnectAfterTokens = 1;
    auto answer = client::call(request);
    if (answer.tokens == 0)
        std::printf("relay: a call failed: %d %s\n", answer.status, answer.body.c_str());
    return std::chrono::duration<double, std::milli>(clock_type::now() - start).count();
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void measureFirstToken(const relay_options& options)
{
    constexpr int pairs = 300;
    std::vector<double> direct;
    std::vector<double> through;
    std::vector<double> added;
    for (int number = 0; number < pairs; ++number) {
        bool directFirst = number % 2 == 0;
        double first = firstTokenMs(options, directFirst, number);
        double second = firstTokenMs(options, !directFirst, number);
        direct.push_back(directFirst ? first : second);
        through.push_back(directFirst ? second : first);
        added.push_back(through.back() - direct.back());
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    std::printf(
        "relay: first_token_direct_ms_median=%.2f through_entry_median=%.2f added_median=%.2f added_95=%.2f "
        "(pairs=%d)\n",
        quantile(direct, 0.5), quantile(through, 0.5), quantile(added, 0.5), quantile(added, 0.95), pairs);
}

void measureStreams(const relay_options& options, int streams, std::uint32_t tokens)
{
    std::atomic<std::uint64_t> received { 0 };
    std::atomic<int> failed { 0 };
    double cpuBefore = benchmarks::cpuSeconds(options.entryPid);
    auto start = clock_type::now();
    std::vector<std::thread> threads;
    for (int number = 0; number < streams; ++number) {
        threads.emplace_back([&, number] {
            auto answer
                = client::call(requestFor(options, false, "stream " + std::to_string(number), tokens));
            received += answer.tokens;
            failed += answer.ok() ? 0 : 1;
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    double memory = benchmarks::residentMegabytes(options.entryPid);
    for (auto& thread : threads)
        thread.join();
    double seconds = std::chrono::duration<double>(clock_type::now() - start).count();
    double cpu = benchmarks::cpuSeconds(options.entryPid) - cpuBefore;
    double count = static_cast<double>(received.load());
    std::printf("relay: streams=%d tokens_per_s=%.0f entry_cpu_us_per_token=%.1f tokens_per_s_per_core=%.0f "
                "resident_mb=%.0f failed=%d\n",
        streams, count / seconds, cpu * 1e6 / count, count / cpu, memory, failed.load());
}

} // namespace

int main(int argc, char** argv)
{
    relay_options options;
    CLI::App app { "benchmarks streamed completions through an entry" };
    app.add_option("--entry", options.entry)->required();
    app.add_option("--engine", options.engine)->required();
    app.add_option("--key", options.key)->required();
    app.add_option("--entry-pid", options.entryPid)->required();
    CLI11_PARSE(app, argc, argv);
    double idleBefore = benchmarks::cpuSeconds(options.entryPid);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    std::printf("relay: idle entry_cpu_percent=%.2f resident_mb=%.0f\n",
        (benchmarks::cpuSeconds(options.entryPid) - idleBefore) / 5 * 100,
        benchmarks::residentMegabytes(options.entryPid));
    measureFirstToken(options);
    for (int streams : { 20, 60, 200 })
        measureStreams(options, streams, 600);
    return 0;
}

// Benchmarks the ledger of places: CPU time per decision with many waiting requests, each with 8 candidates.
// Prints the size of the messages, too.

#include "plumfold/core/places/plumfold_place_ledger.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <capnp/message.h>

#include <cstdio>
#include <ctime>
#include <deque>
#include <string>

namespace {

using namespace plumfold::core;

/// @return the CPU time of this process in µs, so that other processes on the machine don't matter.
double cpuMicroseconds()
{
    return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

constexpr int decisions = 2'000;
constexpr std::uint64_t clients = 60;
constexpr std::uint32_t slots = 6;
constexpr std::uint64_t targetCount = 8;

place_request makeRequest(std::uint64_t number, std::uint64_t customers)
{
    place_request request { { 1 + number % clients, number }, "shop",
        "c" + std::to_string(number % customers), static_cast<std::uint32_t>(number % 3),
        milliseconds(60'000), {} };
    for (std::uint64_t target = 0; target < targetCount; ++target)
        request.candidates.push_back({ "10.0.0.1:" + std::to_string(8'000 + target), 1, slots, 0 });
    return request;
}

/// Ends one place and adds one request for each decision.
void measure(std::uint64_t waiting, std::uint64_t customers)
{
    place_ledger ledger;
    instant now {};
    std::uint64_t number = 0;
    std::deque<place_id> held;
    auto decide = [&] {
        for (const auto& [id, decision] : ledger.takeDecisions(now)) {
            if (decision.refusal == place_refusal::none)
                held.push_back(id);
        }
    };
    while (ledger.figures().waiting < waiting) {
        ledger.submit(makeRequest(++number, customers), now);
        decide();
    }
    auto start = cpuMicroseconds();
    for (int index = 0; index < decisions; ++index) {
        now += milliseconds(2);
        ledger.end({ held.front(), place_outcome::served }, now);
        held.pop_front();
        decide();
        ledger.submit(makeRequest(++number, customers), now);
        decide();
    }
    double took = cpuMicroseconds() - start;
    std::printf("places: waiting=%llu customers=%llu us_per_decision=%.1f\n",
        static_cast<unsigned long long>(waiting), static_cast<unsigned long long>(customers),
        took / decisions);
}

template <class Message, class Value> unsigned long long bytesOf(const Value& value)
{
    capnp::MallocMessageBuilder message;
    plumfold::wire::write(message.initRoot<Message>(), value);
    return message.sizeInWords() * sizeof(capnp::word);
}

} // namespace

int main()
{
    auto request = makeRequest(1, 1);
    request.candidates.resize(5);
    std::printf(
        "places: candidates=5 request_bytes=%llu decision_bytes=%llu held_bytes=%llu end_bytes=%llu\n",
        bytesOf<plumfold::wire::PlaceRequest>(request),
        bytesOf<plumfold::wire::PlaceDecision>(
            place_decision { request.candidates.front().target, 1, {}, {} }),
        bytesOf<plumfold::wire::HeldPlace>(held_place { request.id, request.candidates.front() }),
        bytesOf<plumfold::wire::PlaceEnd>(place_end { request.id, place_outcome::served }));
    for (std::uint64_t customers : { 1, 20, 1'000 }) {
        measure(1, customers);
        measure(100, customers);
        measure(1'999, customers);
    }
    return 0;
}

// Benchmarks the dispatcher: CPU time per routing decision, load report and tick, and memory, for growing
// numbers of targets and known prompts. Prints one line per size.

#include "support/plumfold_process_usage.hpp"

#include "plumfold/core/plumfold_dispatcher.hpp"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

namespace {

using namespace plumfold::core;
using clock_type = std::chrono::steady_clock;

constexpr int decisions = 2000;
constexpr std::uint32_t blocksPerPrompt = 8;

double microsecondsSince(clock_type::time_point start, int count)
{
    return std::chrono::duration<double, std::micro>(clock_type::now() - start).count() / count;
}

configuration makeConfiguration(int customers)
{
    configuration config;
    for (int domain = 0; domain < 5; ++domain)
        config.apply(record(failure_domain_record { "d" + std::to_string(domain), true, 3 }));
    for (int model = 0; model < 4; ++model) {
        std::string name = "m" + std::to_string(model);
        config.apply(record(model_record { name, 1 << 20, 4096 }));
        config.apply(record(weight_version_record { name, "v1" }));
    }
    for (int customer = 0; customer < customers; ++customer) {
        std::string hash = std::to_string(customer);
        hash.resize(64, '0');
        config.apply(record(customer_record { "c" + std::to_string(customer), hash, 1, 100, 100, { "m0" } }));
    }
    return config;
}

target_report makeReport(int number, std::uint64_t sequence, int domains)
{
    target_report report;
    report.name = "t" + std::to_string(number);
    report.incarnation = 1;
    report.address = "10.0.0.1:" + std::to_string(number);
    report.failureDomain = "d" + std::to_string(number % domains);
    report.models = { { "m" + std::to_string(number % 4), "v1", {} } };
    report.maxBatch = 64;
    report.running = sequence == 1 ? 64 : 0;
    report.sequence = sequence;
    return report;
}

prompt_chain makePromptChain(std::uint64_t prompt)
{
    prompt_chain chain;
    for (std::uint64_t block = 0; block < blocksPerPrompt; ++block)
        chain.push_back(prompt * 1'000'003 + block);
    return chain;
}

void measure(int targets, std::uint64_t prompts)
{
    dispatch_options options;
    options.entry = "entry";
    options.failureDomain = "d0";
    options.maxKnownBlocks = 1'000'000;
    dispatcher subject(options);
    instant now {};
    auto config = makeConfiguration(2000);
    bool fits = false;
    subject.onConfiguration({ config.revision(), config.digest(), config.records(), {} }, fits, now);
    subject.onConfigurationConfirmed(now);
    for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
        for (int number = 0; number < targets; ++number)
            subject.onReport(makeReport(number, sequence, 5), now, now);
    }
    cache_events events;
    events.incarnation = 1;
    std::vector<std::uint64_t> sequences(static_cast<std::size_t>(targets), 0);
    for (std::uint64_t prompt = 0; prompt < prompts; ++prompt) {
        events.target = "t" + std::to_string(prompt % static_cast<std::uint64_t>(targets));
        events.added = makePromptChain(prompt);
        auto& sequence = sequences[prompt % static_cast<std::uint64_t>(targets)];
        events.sequence = sequence;
        sequence += blocksPerPrompt;
        subject.onCacheEvents(events);
    }
    auto start = clock_type::now();
    for (int index = 0; index < decisions; ++index) {
        request_spec spec;
        spec.number = static_cast<request_number>(index + 1);
        spec.customer = "c" + std::to_string(index % 2000);
        spec.model = "m" + std::to_string(index % 4);
        spec.promptTokens = 2048;
        spec.maxTokens = 100;
        spec.chain = makePromptChain(
            prompts - 1 - static_cast<std::uint64_t>(index) % std::max<std::uint64_t>(1, prompts));
        spec.deadline = now + std::chrono::seconds(60);
        subject.submit(spec, now);
        attempt_report report;
        report.firstToken = milliseconds(100);
        report.duration = milliseconds(500);
        subject.onFinished(spec.number, report, now);
    }
    double perDecision = microsecondsSince(start, decisions);
    start = clock_type::now();
    for (int number = 0; number < targets; ++number)
        subject.onReport(makeReport(number, 3, 5), now, now);
    double perReport = microsecondsSince(start, targets);
    start = clock_type::now();
    for (int count = 0; count < 100; ++count)
        subject.tick(now);
    double perTick = microsecondsSince(start, 100);
    std::printf("decisions: targets=%d prompts=%llu us_per_decision=%.1f us_per_report=%.2f us_per_tick=%.1f "
                "resident_mb=%.0f\n",
        targets, static_cast<unsigned long long>(prompts), perDecision, perReport, perTick,
        plumfold::benchmarks::residentMegabytes(::getpid()));
}

} // namespace

int main()
{
    measure(20, 2'000);
    measure(200, 100'000);
    measure(910, 1'100'000);
    return 0;
}

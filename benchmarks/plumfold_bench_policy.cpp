// Simulates the dispatcher and two baseline policies in virtual time, with the same workload and the same
// model of targets. Baselines: round robin, and least requests in flight with prefix affinity by hash. Prints
// the seed.

#include "plumfold/core/plumfold_dispatcher.hpp"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace {

using namespace plumfold::core;

constexpr int targetCount = 20;
constexpr int domainCount = 4;
constexpr std::uint32_t maxBatch = 8;
constexpr double prefillMsPerToken = 0.1;
constexpr double tokenMs = 20;
constexpr std::uint32_t outputTokens = 64;
constexpr std::size_t cacheBlocks = 256; // holds only a small part of all conversations
constexpr int conversationCount = 400;
constexpr double runSeconds = 120;
constexpr double firstTokenLimitMs = 890;
constexpr double domainOutAtSeconds = 40;
constexpr double domainBackAtSeconds = 80;

/// Arrival of one request in the workload.
struct arrival {
    double atMs;
    int conversation;
    std::uint32_t blocks;
};

/// A target with a batch and a prefix cache with LRU eviction.
class simulated_target {
public:
    std::uint32_t cachedBlocks(const prompt_chain& chain) const
    {
        std::uint32_t count = 0;
        while (count < chain.size() && m_blocks.contains(chain[count]))
            ++count;
        return count;
    }

    void cache(const prompt_chain& chain)
    {
        for (std::uint64_t block : chain) {
            auto found = m_blocks.find(block);
            if (found != m_blocks.end())
                m_recent.erase(found->second);
            m_recent.push_front(block);
            m_blocks[block] = m_recent.begin();
        }
        while (m_blocks.size() > cacheBlocks) {
            m_blocks.erase(m_recent.back());
            m_recent.pop_back();
        }
    }

    std::uint32_t running = 0;
    std::deque<std::function<void()>> queue; // requests that wait inside the target

private:
    std::list<std::uint64_t> m_recent;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

struct policy_result {
    std::vector<double> firstTokens;
    std::uint64_t promptTokens = 0;
    std::uint64_t computedTokens = 0;
    int arrived = 0;
    int refused = 0;
    int inTime = 0;
    int inTimeDuringMove = 0;
    int arrivedDuringMove = 0;
};

std::vector<arrival> makeTrace(double load, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    // Approximate time in the batch: mean prefill and decoding of all tokens.
    double serviceMs = 300 + outputTokens * tokenMs;
    double capacityPerMs = targetCount * maxBatch / serviceMs;
    std::exponential_distribution<double> gap(capacityPerMs * load);
    std::vector<int> returns(conversationCount, 0);
    std::vector<arrival> trace;
    for (double at = 0; at < runSeconds * 1000; at += gap(random)) {
        int conversation = static_cast<int>(random() % conversationCount);
        auto blocks = static_cast<std::uint32_t>(8 + returns[static_cast<std::size_t>(conversation)]++ % 16);
        trace.push_back({ at, conversation, blocks });
    }
    return trace;
}

prompt_chain makeConversationChain(int conversation, std::uint32_t blocks)
{
    prompt_chain chain;
    for (std::uint64_t block = 0; block < blocks; ++block)
        chain.push_back(static_cast<std::uint64_t>(conversation + 1) * 1'000'003 + block);
    return chain;
}

/// Discrete-event simulation of targets under a workload. A derived class implements the routing policy.
class simulation {
public:
    simulation(const std::vector<arrival>& trace, bool moveDomain)
        : m_trace(trace)
        , m_moveDomain(moveDomain)
    {
    }
    virtual ~simulation() = default;

    policy_result run()
    {
        for (std::size_t index = 0; index < m_trace.size(); ++index)
            at(m_trace[index].atMs, [this, index] { arrive(index); });
        for (double time = 0; time < runSeconds * 1000 + 20'000; time += 10)
            at(time, [this] { tick(); });
        while (!m_events.empty()) {
            event next = m_events.top();
            m_events.pop();
            nowMs = next.atMs;
            next.run();
        }
        return result;
    }

protected:
    virtual void decide(std::size_t request) = 0;
    virtual void requestFinished(std::size_t, int, double, double) { }
    virtual void tick() { }

    bool domainOut(int domain) const
    {
        return m_moveDomain && domain == 0 && nowMs >= domainOutAtSeconds * 1000
            && nowMs < domainBackAtSeconds * 1000;
    }
    bool isMoving(double atMs) const
    {
        return m_moveDomain && atMs >= domainOutAtSeconds * 1000 && atMs < domainBackAtSeconds * 1000 + 5000;
    }

    void start(std::size_t request, int target)
    {
        auto& chosen = targets[static_cast<std::size_t>(target)];
        double sentMs = nowMs;
        auto startRequest = [this, request, target, sentMs] { onStarted(request, target, sentMs); };
        if (chosen.running < maxBatch)
            startRequest();
        else
            chosen.queue.push_back(startRequest);
    }

    void refuse(std::size_t) { ++result.refused; }
    prompt_chain chainOf(std::size_t request) const
    {
        return makeConversationChain(m_trace[request].conversation, m_trace[request].blocks);
    }
    std::uint32_t tokensOf(std::size_t request) const
    {
        return estimatePromptTokens(m_trace[request].blocks * promptBlockBytes);
    }
    const std::vector<arrival>& trace() const { return m_trace; }

    double nowMs = 0;
    std::vector<simulated_target> targets { targetCount };
    policy_result result;

private:
    struct event {
        double atMs;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return atMs != other.atMs ? atMs > other.atMs : order > other.order;
        }
    };

    void at(double time, std::function<void()> run) { m_events.push({ time, m_order++, std::move(run) }); }

    void arrive(std::size_t index)
    {
        ++result.arrived;
        result.arrivedDuringMove += isMoving(m_trace[index].atMs);
        decide(index);
    }

    void onStarted(std::size_t request, int target, double sentMs)
    {
        auto& chosen = targets[static_cast<std::size_t>(target)];
        ++chosen.running;
        auto chain = chainOf(request);
        std::uint32_t cached = estimatePromptTokens(chosen.cachedBlocks(chain) * promptBlockBytes);
        if (chosen.cachedBlocks(chain) == 0)
            cached = 0;
        std::uint32_t computed = tokensOf(request) - std::min(tokensOf(request), cached);
        chosen.cache(chain);
        result.promptTokens += tokensOf(request);
        result.computedTokens += computed;
        double slowdown = 1 + 0.5 * chosen.running / maxBatch;
        double firstMs = nowMs + 10 + computed * prefillMsPerToken * slowdown;
        double firstToken = firstMs - m_trace[request].atMs;
        result.firstTokens.push_back(firstToken);
        bool inTime = firstToken <= firstTokenLimitMs;
        result.inTime += inTime;
        result.inTimeDuringMove += inTime && isMoving(m_trace[request].atMs);
        at(firstMs + outputTokens * tokenMs, [this, request, target, firstMs, sentMs] {
            auto& done = targets[static_cast<std::size_t>(target)];
            --done.running;
            if (!done.queue.empty()) {
                auto next = std::move(done.queue.front());
                done.queue.pop_front();
                next();
            }
            requestFinished(request, target, firstMs - sentMs, nowMs - sentMs);
        });
    }

    const std::vector<arrival>& m_trace;
    bool m_moveDomain;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
};

class round_robin final : public simulation {
public:
    using simulation::simulation;

private:
    void decide(std::size_t request) override
    {
        do
            m_next = (m_next + 1) % targetCount;
        while (domainOut(m_next % domainCount));
        start(request, m_next);
    }
    int m_next = 0;
};

class affinity_by_hash final : public simulation {
public:
    using simulation::simulation;

private:
    std::size_t loadOf(int target) const
    {
        const auto& each = targets[static_cast<std::size_t>(target)];
        return each.running + each.queue.size();
    }
    void decide(std::size_t request) override
    {
        int least = -1;
        for (int target = 0; target < targetCount; ++target) {
            if (!domainOut(target % domainCount) && (least < 0 || loadOf(target) < loadOf(least)))
                least = target;
        }
        int preferred = static_cast<int>(
            static_cast<unsigned>(trace()[request].conversation) * 2654435761u % targetCount);
        bool preferredFits = !domainOut(preferred % domainCount) && loadOf(preferred) < maxBatch;
        start(request, preferredFits ? preferred : least);
    }
};

class plumfold_policy final : public simulation {
public:
    plumfold_policy(const std::vector<arrival>& trace, bool moveDomain)
        : simulation(trace, moveDomain)
        , m_dispatcher(options())
    {
        for (int domain = 0; domain < domainCount; ++domain)
            m_config.apply(record(failure_domain_record { "d" + std::to_string(domain), true, 3 }));
        m_config.apply(record(model_record { "base", 1 << 24, 4096 }));
        m_config.apply(record(weight_version_record { "base", "v1" }));
        m_config.apply(
            record(customer_record { "c", std::string(64, 'c'), 1, 100'000, 100'000, { "base" } }));
        configure();
    }

private:
    static dispatch_options options()
    {
        dispatch_options made;
        made.entry = "entry";
        made.failureDomain = "d0";
        return made;
    }

    instant now() const
    {
        return instant(std::chrono::microseconds(static_cast<std::int64_t>(nowMs * 1000)));
    }

    void configure()
    {
        bool fits = false;
        perform(m_dispatcher.onConfiguration(
            { m_config.revision(), m_config.digest(), m_config.records(), {} }, fits, now()));
    }

    void decide(std::size_t request) override
    {
        request_spec spec;
        spec.number = request + 1;
        spec.customer = "c";
        spec.model = "base";
        spec.fingerprint = request;
        spec.promptTokens = tokensOf(request);
        spec.maxTokens = outputTokens;
        spec.chain = chainOf(request);
        spec.deadline = now() + std::chrono::seconds(60);
        perform(m_dispatcher.submit(spec, now()));
    }

    void requestFinished(std::size_t request, int, double firstMs, double heldMs) override
    {
        attempt_report report;
        report.firstToken = milliseconds(static_cast<std::int64_t>(firstMs));
        report.duration = milliseconds(static_cast<std::int64_t>(heldMs));
        report.cachedTokens = m_cached[request];
        perform(m_dispatcher.onFinished(request + 1, report, now()));
    }

    void tick() override
    {
        if (m_ticks++ % 25 == 0)
            announceAll();
        bool out = domainOut(0);
        if (out != m_out) {
            m_out = out;
            m_config.apply(record(failure_domain_record { "d0", !out, 3 }));
            configure();
        }
        m_dispatcher.onConfigurationConfirmed(now());
        perform(m_dispatcher.tick(now()));
    }

    void announceAll()
    {
        for (int target = 0; target < targetCount; ++target) {
            const auto& state = targets[static_cast<std::size_t>(target)];
            target_report report;
            report.name = "t" + std::to_string(target);
            report.incarnation = 1;
            report.failureDomain = "d" + std::to_string(target % domainCount);
            report.models = { { "base", "v1", {} } };
            report.maxBatch = maxBatch;
            report.running = state.running;
            report.queued = static_cast<std::uint32_t>(state.queue.size());
            report.sequence = ++m_sequence;
            perform(m_dispatcher.onReport(report, now(), now()));
        }
    }

    void perform(const dispatcher::actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* started = std::get_if<start_action>(&action)) {
                int target = std::stoi(started->plan.target.substr(1));
                std::size_t request = started->request - 1;
                auto chain = chainOf(request);
                std::uint32_t blocks = targets[static_cast<std::size_t>(target)].cachedBlocks(chain);
                m_cached[request] = blocks == 0 ? 0 : estimatePromptTokens(blocks * promptBlockBytes);
                start(request, target);
            }
            if (const auto* refused = std::get_if<reject_action>(&action))
                refuse(refused->request - 1);
        }
    }

    dispatcher m_dispatcher;
    configuration m_config;
    std::unordered_map<std::size_t, std::uint32_t> m_cached;
    std::uint64_t m_sequence = 0;
    int m_ticks = 0;
    bool m_out = false;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void print(const char* name, double load, bool move, const policy_result& result)
{
    double seconds = runSeconds;
    std::printf("policy: %-17s load=%.1f move=%d first_token_ms 50=%.0f 95=%.0f 99=%.0f recomputed=%.3f "
                "in_time_per_s=%.1f "
                "refused=%.3f",
        name, load, move, quantile(result.firstTokens, 0.5), quantile(result.firstTokens, 0.95),
        quantile(result.firstTokens, 0.99),
        static_cast<double>(result.computedTokens)
            / static_cast<double>(std::max<std::uint64_t>(1, result.promptTokens)),
        result.inTime / seconds, static_cast<double>(result.refused) / std::max(1, result.arrived));
    if (move)
        std::printf(" in_time_share_during_move=%.3f",
            static_cast<double>(result.inTimeDuringMove) / std::max(1, result.arrivedDuringMove));
    std::printf("\n");
}

} // namespace

int main()
{
    constexpr std::uint64_t seed = 20261203;
    std::printf("policy: seed=%llu targets=%d batch=%u conversations=%d seconds=%.0f bound_ms=%.0f\n",
        static_cast<unsigned long long>(seed), targetCount, maxBatch, conversationCount, runSeconds,
        firstTokenLimitMs);
    for (double load : { 0.5, 0.9, 1.2, 2.0 }) {
        auto trace = makeTrace(load, seed);
        print("round_robin", load, false, round_robin(trace, false).run());
        print("least_by_hash", load, false, affinity_by_hash(trace, false).run());
        print("plumfold", load, false, plumfold_policy(trace, false).run());
    }
    auto trace = makeTrace(0.6, seed);
    print("round_robin", 0.6, true, round_robin(trace, true).run());
    print("least_by_hash", 0.6, true, affinity_by_hash(trace, true).run());
    print("plumfold", 0.6, true, plumfold_policy(trace, true).run());
    return 0;
}

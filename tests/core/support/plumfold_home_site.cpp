#include "support/plumfold_home_site.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace plumfold::tests {

using namespace core;

namespace {

constexpr std::array<prompt_kind, 3> kinds { {
    { 9'122, 2'870, 192, 63, 800 },
    { 650, 177, 205, 5, 400 },
    { 1'861, 507, 375, 14, 400 },
} };
constexpr double tokensPerMs = 66;
constexpr double fetchedShare = 0.9;
constexpr double slowShare = 0.15;
constexpr double slowFactor = 2.5;
constexpr double slowMs = 600;
constexpr double reportIntervalMs = 100;
constexpr double minReportDelayMs = 100;
constexpr double maxReportDelayMs = 300; // and as long as the interval until the next one
constexpr double streamMs = 1'700; // mean
constexpr std::uint64_t memoryTokens = 83'417;
constexpr double disturbedMs = 50;
constexpr double clumpMs = 200;
constexpr std::size_t clumpSize = 4;
constexpr double warmUpMs = 2'000; // before anything is counted
constexpr double millisecondsPerSecond = 1'000;

double shareOf(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

double site_result::disturbedShare() const
{
    std::size_t disturbed = 0;
    std::size_t prompts = 0;
    for (const auto& each : kinds) {
        disturbed += each.disturbed;
        prompts += each.prompts;
    }
    return shareOf(disturbed, prompts);
}

double site_result::worstLateShare() const
{
    double worst = 0;
    for (const auto& each : kinds)
        worst = std::max(worst, each.lateShare());
    return worst;
}

home_site::home_site(const site_options& options)
    : m_options(options)
    , m_random(options.seed)
{
    m_result.kinds.resize(kinds.size());
    service_limits limits;
    limits.name = "s";
    limits.engine = engine_limits { 64, memoryTokens, 0, 0 };
    for (std::size_t index = 0; index < options.engines; ++index) {
        target_announcement each;
        each.name = "engine-" + std::to_string(index);
        each.address = each.name + ":8080";
        each.service = "s";
        each.failureDomain = "fd" + std::to_string(index % options.failureDomains);
        each.slots = 64;
        m_announced.push_back(each);
        m_engineIndex[each.name] = index;
        engine state;
        state.name = each.name;
        state.reportDelayMs = minReportDelayMs + uniform() * (maxReportDelayMs - minReportDelayMs);
        m_engines.push_back(std::move(state));
    }
    for (std::size_t index = 0; index < options.entries; ++index) {
        m_entryNames.push_back("entry-" + std::to_string(index));
        m_entryDomains.push_back("fd" + std::to_string(index % options.failureDomains));
        target_selector_options settings { m_entryDomains.back(), m_entryNames.back() };
        settings.latencyModel.prefillTokensPerMs = tokensPerMs;
        auto selector = std::make_unique<target_selector>(settings);
        selector->enableSpeedModel();
        if (options.usesHomes)
            selector->enableHomes();
        selector->setServices({ limits });
        selector->applyAnnouncements(m_announced, true, now());
        m_entries.push_back(std::move(selector));
        m_fullWeights.push_back(1 + static_cast<double>(index) / static_cast<double>(options.entries - 1));
    }
    std::shuffle(m_fullWeights.begin(), m_fullWeights.end(), m_random);
    m_weights = m_fullWeights;
    assignPositions();
    for (std::size_t kind = 0; kind < kinds.size(); ++kind)
        scheduleArrival(kind);
    for (std::size_t index = 0; index < options.engines; ++index) {
        schedule(exponential(slowMs / slowShare * (1 - slowShare)), [this, index] { toggleSlow(index); });
        if (options.hasReports)
            schedule(uniform() * reportIntervalMs, [this, index] { report(index); });
    }
}

void home_site::schedule(double ms, std::function<void()> action)
{
    m_events.push({ m_nowMs + ms, ++m_eventNumber, std::move(action) });
}

void home_site::at(double seconds, std::function<void(home_site&)> action)
{
    schedule(seconds * millisecondsPerSecond, [this, action = std::move(action)] { action(*this); });
}

instant home_site::now() const
{
    return instant {} + std::chrono::hours(1)
        + std::chrono::duration_cast<instant::duration>(std::chrono::duration<double, std::milli>(m_nowMs));
}

site_result home_site::run()
{
    double endMs = m_options.seconds * millisecondsPerSecond;
    while (!m_events.empty() && m_events.top().ms < endMs) {
        auto next = m_events.top();
        m_events.pop();
        m_nowMs = next.ms;
        next.action();
    }
    m_result.busyShare = m_busyMs / (endMs * static_cast<double>(m_options.engines));
    for (const auto& each : m_engines) {
        for (double at : each.starts) {
            // The window that begins with the start, as in the evidence of days.
            auto first = std::lower_bound(each.starts.begin(), each.starts.end(), at - clumpMs / 2);
            auto last = std::upper_bound(each.starts.begin(), each.starts.end(), at + clumpMs / 2);
            ++m_result.started;
            m_result.clumped += static_cast<std::size_t>(last - first) >= clumpSize;
        }
    }
    return m_result;
}

void home_site::assignPositions()
{
    std::vector<entry_address> present;
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (m_weights[index] > 0)
            present.push_back({ m_entryNames[index], {}, m_entryDomains[index] });
    }
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        m_entries[index]->setEntryCount(static_cast<std::uint32_t>(present.size()), now());
        m_entries[index]->setPosition(positionOf(m_entryNames[index], m_entryDomains[index], present));
    }
}

void home_site::setPositions(const entry_position& position)
{
    for (auto& each : m_entries)
        each->setPosition(position);
}

void home_site::setPresent(std::size_t entry, bool isPresent)
{
    m_weights[entry] = isPresent ? m_fullWeights[entry] : 0;
}

void home_site::loseEngines(const std::string& failureDomain)
{
    for (auto& each : m_entries)
        each->setOutOfService({ failureDomain });
}

std::size_t home_site::drawEntry()
{
    return std::discrete_distribution<std::size_t>(m_weights.begin(), m_weights.end())(m_random);
}

void home_site::scheduleArrival(std::size_t kind)
{
    schedule(exponential(millisecondsPerSecond / (kinds[kind].perSecond * m_options.rate)),
        [this, kind] { arrive(kind); });
}

void home_site::arrive(std::size_t kind)
{
    scheduleArrival(kind);
    const auto& properties = kinds[kind];
    prompt each;
    each.entry = drawEntry();
    each.kind = kind;
    each.isFetched = uniform() < fetchedShare;
    each.sentMs = m_nowMs;
    each.fetchMs = each.isFetched ? properties.fetchMs : 0;
    each.prefillMs = (properties.ownTokens + (each.isFetched ? 0 : properties.sharedTokens)) / tokensPerMs;
    placement_request request;
    request.service = "s";
    request.session = m_random() | 1;
    request.sharedTokens = static_cast<std::uint64_t>(properties.sharedTokens);
    request.promptTokens = request.sharedTokens + static_cast<std::uint64_t>(properties.ownTokens);
    double sharedMs = each.isFetched ? properties.fetchMs : properties.sharedTokens / tokensPerMs;
    request.sharedCost = shared_parts_cost { "fd0", sharedMs, sharedMs };
    if (each.isFetched)
        request.storedIn = "fd0";
    each.tokens = target_selector::expectedTokens(request);
    auto answer = m_entries[each.entry]->choose(request, now());
    if (!answer.chosen)
        return;
    each.engine = m_engineIndex.at(answer.chosen->target);
    each.id = answer.chosen->prompt;
    each.runningAtStart = answer.chosen->running;
    each.waitingAtStart = answer.chosen->waiting;
    auto& chosen = m_engines[each.engine];
    if (m_nowMs >= warmUpMs) {
        chosen.starts.push_back(m_nowMs);
        m_result.home += answer.chosen->homeShare.value_or(0) > 0;
    }
    chosen.usedTokens += each.tokens;
    schedule(each.fetchMs, [this, each] {
        m_engines[each.engine].queue.push_back(each);
        if (m_engines[each.engine].queue.size() == 1)
            prefillNext(each.engine);
    });
}

void home_site::prefillNext(std::size_t engine)
{
    auto& each = m_engines[engine];
    if (each.queue.empty())
        return;
    auto& first = each.queue.front();
    first.ownPrefillMs = first.prefillMs * (each.isSlow ? slowFactor : 1);
    m_busyMs += first.ownPrefillMs;
    schedule(first.ownPrefillMs, [this, engine] { onPrefilled(engine); });
}

void home_site::onPrefilled(std::size_t engine)
{
    auto& from = m_engines[engine];
    auto done = from.queue.front();
    from.queue.pop_front();
    double firstEventMs = m_nowMs - done.sentMs;
    auto& entry = *m_entries[done.entry];
    entry.onFirstEvent(from.name, done.id, now());
    entry.recordFirstEvent(
        { "s", from.name, done.prefillMs * tokensPerMs, static_cast<double>(done.runningAtStart),
            static_cast<double>(done.waitingAtStart), 64, done.isFetched ? 1u : 0u, firstEventMs },
        now());
    if (done.sentMs >= warmUpMs) {
        auto& result = m_result.kinds[done.kind];
        ++result.prompts;
        result.late += firstEventMs > kinds[done.kind].lateMs;
        result.disturbed += firstEventMs - done.fetchMs - done.ownPrefillMs > disturbedMs;
        result.firstEventMs.push_back(firstEventMs);
    }
    ++from.running;
    schedule(exponential(streamMs), [this, engine, done] {
        auto& each = m_engines[engine];
        --each.running;
        each.usedTokens -= done.tokens;
        m_entries[done.entry]->onAttemptEnded(
            each.name, attempt_result::answered, done.tokens, now(), done.id);
    });
    prefillNext(engine);
}

void home_site::toggleSlow(std::size_t engine)
{
    auto& each = m_engines[engine];
    each.isSlow = !each.isSlow;
    schedule(each.isSlow ? slowMs : exponential(slowMs / slowShare * (1 - slowShare)),
        [this, engine] { toggleSlow(engine); });
}

void home_site::report(std::size_t engine)
{
    schedule(reportIntervalMs, [this, engine] { report(engine); });
    const auto& each = m_engines[engine];
    target_load load;
    load.target = each.name;
    load.running = each.running + (each.queue.empty() ? 0 : 1);
    load.waiting = each.queue.empty() ? 0 : static_cast<std::uint32_t>(each.queue.size() - 1);
    load.usedTokens = static_cast<std::uint32_t>(each.usedTokens);
    load.age = milliseconds(static_cast<std::int64_t>(each.reportDelayMs));
    schedule(each.reportDelayMs, [this, load] {
        for (auto& entry : m_entries)
            entry->applyLoads({ load }, now());
    });
}

} // namespace plumfold::tests

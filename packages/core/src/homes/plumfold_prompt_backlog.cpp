#include "plumfold/core/homes/plumfold_prompt_backlog.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

/// A prompt that is later than predicted counts with this share of its prefill time: the engine is slower
/// than predicted or prefills other prompts, so it is not free.
constexpr double overdueShare = 0.5;

double millisecondsBetween(instant from, instant to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

instant after(instant at, double ms)
{
    return at + std::chrono::duration_cast<instant::duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace

void prompt_backlog::start(std::uint64_t id, double fetchMs, double prefillMs, instant now)
{
    removeOld(now);
    m_prompts.push_back({ id, now, after(now, fetchMs), prefillMs });
}

void prompt_backlog::finish(std::uint64_t id, instant now)
{
    for (auto& each : m_prompts) {
        if (each.id != id || each.finishedAt != instant::max())
            continue;
        each.finishedAt = now;
        m_freeSince = std::max(m_freeSince, now);
    }
    removeOld(now);
}

void prompt_backlog::removeOld(instant now)
{
    std::erase_if(m_prompts, [now](const auto& each) {
        return each.finishedAt == instant::max() ? now - each.sentAt > maxPromptAge
                                                 : now - each.finishedAt > maxReportAge;
    });
}

double prompt_backlog::remainingMs(instant now) const
{
    double total = 0;
    auto freeAt = m_freeSince;
    for (const auto& each : m_prompts) {
        if (each.finishedAt != instant::max() || now - each.sentAt > maxPromptAge)
            continue;
        auto begin = std::max(freeAt, each.readyAt);
        double left = millisecondsBetween(std::max(begin, now), after(begin, each.prefillMs));
        left = std::max(left, each.prefillMs * overdueShare);
        total += left;
        freeAt = after(std::max(begin, now), left);
    }
    return total;
}

std::size_t prompt_backlog::unfinished() const
{
    return static_cast<std::size_t>(std::count_if(m_prompts.begin(), m_prompts.end(),
        [](const auto& each) { return each.finishedAt == instant::max(); }));
}

std::size_t prompt_backlog::unfinishedAt(instant at) const
{
    return static_cast<std::size_t>(std::count_if(m_prompts.begin(), m_prompts.end(),
        [at](const auto& each) { return each.sentAt < at && at < each.finishedAt; }));
}

} // namespace plumfold::core

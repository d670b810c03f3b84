#include "plumfold/core/plumfold_prefix_index.hpp"

#include <algorithm>

namespace plumfold::core {

prefix_index::prefix_index(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

prefix_index::target_number prefix_index::numberOf(const std::string& target)
{
    auto found = m_numbers.find(target);
    if (found != m_numbers.end())
        return found->second;
    auto number = static_cast<target_number>(m_names.size());
    if (m_names.size() > UINT16_MAX) { // numbers of removed targets are not reused: start over when exhausted
        m_current.clear();
        m_previous.clear();
        m_numbers.clear();
        m_names.assign(1, "");
        number = 1;
    }
    m_names.push_back(target);
    m_numbers[target] = number;
    return number;
}

const prefix_index::holders* prefix_index::find(std::uint64_t block) const
{
    if (auto found = m_current.find(block); found != m_current.end())
        return &found->second;
    if (auto found = m_previous.find(block); found != m_previous.end())
        return &found->second;
    return nullptr;
}

void prefix_index::addBlock(target_number target, std::uint64_t block)
{
    if (m_current.size() >= m_maxBlocks / 2) {
        m_previous = std::move(m_current);
        m_current = {};
    }
    auto [place, isNew] = m_current.try_emplace(block);
    if (isNew) {
        auto old = m_previous.find(block);
        if (old != m_previous.end()) {
            place->second = old->second;
            m_previous.erase(old);
        }
    }
    auto& targets = place->second.targets;
    if (std::find(targets.begin(), targets.end(), target) != targets.end())
        return;
    std::rotate(targets.begin(), targets.end() - 1, targets.end());
    targets[0] = target;
}

void prefix_index::removeBlock(target_number target, std::uint64_t block)
{
    for (auto* map : { &m_current, &m_previous }) {
        auto found = map->find(block);
        if (found != map->end())
            std::replace(found->second.targets.begin(), found->second.targets.end(), target, noTarget);
    }
}

void prefix_index::add(const std::string& target, const prompt_chain& chain)
{
    target_number number = numberOf(target);
    for (std::uint64_t block : chain)
        addBlock(number, block);
}

void prefix_index::apply(const cache_events& events)
{
    auto& position = m_positions[events.target];
    bool sameIncarnation = position.incarnation == events.incarnation;
    bool isStale = sameIncarnation && events.sequence < position.next;
    if (isStale && !events.complete)
        return;
    bool gap = !sameIncarnation || events.sequence != position.next;
    if (events.complete || gap)
        remove(events.target);
    auto& updated = m_positions[events.target];
    updated.incarnation = events.incarnation;
    updated.next = events.sequence + events.added.size() + events.removed.size();
    target_number number = numberOf(events.target);
    for (std::uint64_t block : events.added)
        addBlock(number, block);
    for (std::uint64_t block : events.removed)
        removeBlock(number, block);
}

void prefix_index::remove(const std::string& target)
{
    m_positions.erase(target);
    auto found = m_numbers.find(target);
    if (found == m_numbers.end())
        return;
    m_names[found->second].clear();
    m_numbers.erase(found);
}

std::map<std::string, std::uint32_t> prefix_index::match(const prompt_chain& chain) const
{
    std::map<std::string, std::uint32_t> result;
    for (std::size_t length = chain.size(); length > 0; --length) {
        const holders* block = find(chain[length - 1]);
        if (!block)
            continue;
        for (target_number target : block->targets) {
            if (target != noTarget && !m_names[target].empty())
                result.try_emplace(m_names[target], static_cast<std::uint32_t>(length));
        }
    }
    return result;
}

} // namespace plumfold::core

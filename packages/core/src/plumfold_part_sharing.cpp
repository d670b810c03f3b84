#include "plumfold/core/plumfold_part_sharing.hpp"

#include <algorithm>
#include <utility>

namespace plumfold::core {

shared_parts part_sharing::updates(
    const part_directory& directory, const std::vector<std::string>& holders, instant now)
{
    shared_parts out;
    std::vector<holder_state*> waiting;
    for (const auto& holder : holders) {
        auto& state = m_holders[holder];
        state.cursor.holder = holder;
        auto known = directory.holders().find(holder);
        bool isKnown = known != directory.holders().end();
        // The receiver has nothing from here to be removed.
        if (!isKnown && state.cursor.generation == 0)
            continue;
        if (isKnown && !known->second.source.empty())
            continue;
        if (!directory.needsWhole(state.cursor))
            out.updates.push_back(directory.updateAfter(state.cursor, now));
        else if (!state.wholeAt || now - *state.wholeAt >= wholeInterval)
            waiting.push_back(&state);
    }
    addWholes(directory, std::move(waiting), now, out);
    return out;
}

/// Those that were sent least recently go first, so that none waits for ever.
void part_sharing::addWholes(
    const part_directory& directory, std::vector<holder_state*> waiting, instant now, shared_parts& out) const
{
    std::stable_sort(waiting.begin(), waiting.end(),
        [](const auto* left, const auto* right) { return left->wholeAt < right->wholeAt; });
    std::size_t holders = 0;
    std::size_t parts = 0;
    for (auto* state : waiting) {
        const auto* content = directory.find(state->cursor.holder, now);
        if (!content)
            continue;
        parts += content->tokens.size();
        if (holders == maxWholeHolders || (holders > 0 && parts > maxWholeParts))
            return;
        ++holders;
        out.updates.push_back(directory.updateAfter(state->cursor, now));
        state->wholeAt = now;
        if (std::exchange(state->isRequested, false))
            out.resent.push_back(state->cursor.holder);
    }
}

void part_sharing::onDelivered(
    const std::vector<part_update>& sent, const std::optional<std::vector<std::string>>& unknown)
{
    for (const auto& update : sent)
        m_holders[update.holder].cursor = { update.holder, update.generation, update.count };
    // The receiver may have been replaced by a process of a former version, which has not reported what it
    // lacks.
    if (m_isReporting && !unknown)
        clearCursors();
    m_isReporting = unknown.has_value();
    if (!unknown)
        return;
    for (const auto& holder : *unknown) {
        auto found = m_holders.find(holder);
        if (found == m_holders.end())
            continue;
        found->second.cursor = { holder, 0, 0 };
        found->second.isRequested = true;
    }
}

void part_sharing::onDisconnected()
{
    if (!m_isReporting)
        clearCursors();
}

void part_sharing::clearCursors()
{
    for (auto& [holder, state] : m_holders)
        state.cursor = { holder, 0, 0 };
}

} // namespace plumfold::core

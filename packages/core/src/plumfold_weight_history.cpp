#include "plumfold/core/plumfold_weight_history.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr std::size_t maxVersions = 4; ///< Latest versions of a model that are kept.

} // namespace

void weight_history::observe(const std::string& model, std::uint64_t version, instant at)
{
    auto& versions = m_models[model];
    auto [known, isNew] = versions.emplace(version, at);
    known->second = std::min(known->second, at);
    if (versions.size() <= maxVersions)
        return;
    // The oldest version that is kept stands for those before it.
    auto removed = versions.extract(versions.begin());
    versions.begin()->second = std::min(versions.begin()->second, removed.mapped());
}

std::vector<weight_naming> weight_history::observe(const std::vector<weight_naming>& namings, instant now)
{
    std::vector<weight_naming> added;
    for (const auto& each : namings) {
        if (currentVersion(each.model).value_or(0) < each.version)
            added.push_back(each);
        observe(each.model, each.version, now - each.age);
    }
    return added;
}

void weight_history::observeCurrent(const std::map<std::string, std::uint64_t>& weights, instant now)
{
    for (const auto& [model, version] : weights) {
        if (!m_models[model].contains(version))
            observe(model, version, now);
    }
}

std::optional<std::uint64_t> weight_history::currentVersion(const std::string& model) const
{
    auto found = m_models.find(model);
    if (found == m_models.end() || found->second.empty())
        return std::nullopt;
    return found->second.rbegin()->first;
}

std::optional<instant> weight_history::supersededAt(const std::string& model, std::uint64_t version) const
{
    auto found = m_models.find(model);
    if (found == m_models.end())
        return std::nullopt;
    auto newer = found->second.upper_bound(version);
    if (newer == found->second.end())
        return std::nullopt;
    // A later version cannot have become current earlier, so its time bounds that of the versions before it.
    auto first = newer->second;
    for (auto later = newer; later != found->second.end(); ++later)
        first = std::min(first, later->second);
    return first;
}

std::vector<weight_naming> weight_history::namings(instant now) const
{
    std::vector<weight_naming> out;
    for (const auto& [model, versions] : m_models) {
        for (const auto& [version, at] : versions) {
            auto age = std::chrono::duration_cast<milliseconds>(now - at);
            out.push_back({ model, version, std::max(age, milliseconds(0)) });
        }
    }
    return out;
}

} // namespace plumfold::core

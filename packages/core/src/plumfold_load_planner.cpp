#include "plumfold/core/plumfold_load_planner.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr milliseconds backoffAfterFailure { 5000 };
constexpr std::size_t failuresToAbandon = 2;

const loaded_model* findModel(const target_report& report, const std::string& model)
{
    auto found = std::find_if(report.models.begin(), report.models.end(),
        [&](const auto& loaded) { return loaded.model == model; });
    return found == report.models.end() ? nullptr : &*found;
}

} // namespace

load_planner::load_planner(milliseconds loadTimeout)
    : m_loadTimeout(loadTimeout)
{
}

bool load_planner::isAbandoned(const std::string& model, const std::string& version) const
{
    auto found = m_versions.find({ model, version });
    return found != m_versions.end() && !found->second.hasSucceeded
        && found->second.failedOn.size() >= failuresToAbandon;
}

void load_planner::resolveOutstanding(const std::vector<target_report>& targets, instant now)
{
    for (auto it = m_outstanding.begin(); it != m_outstanding.end();) {
        const load_order& order = it->second.order;
        auto target = std::find_if(
            targets.begin(), targets.end(), [&](const auto& report) { return report.name == order.target; });
        const loaded_model* loaded = target == targets.end() ? nullptr : findModel(*target, order.model);
        bool done = loaded && loaded->version == order.version;
        bool restarted = target != targets.end() && target->incarnation != order.incarnation;
        bool failed = restarted || now >= it->second.deadline;
        if (!done && !failed) {
            ++it;
            continue;
        }
        auto& record = m_versions[{ order.model, order.version }];
        record.hasSucceeded = record.hasSucceeded || done;
        if (!done) {
            record.failedOn.insert(order.target);
            m_notBefore[order.target] = now + backoffAfterFailure;
        }
        it = m_outstanding.erase(it);
    }
}

std::vector<load_order> load_planner::plan(
    const configuration& config, const std::vector<target_report>& targets, std::uint32_t limit, instant now)
{
    resolveOutstanding(targets, now);
    std::erase_if(m_notBefore, [&](const auto& each) { return each.second <= now; });
    std::vector<load_order> orders;
    for (const auto& report : targets) {
        if (report.isService || report.leaving || m_notBefore.contains(report.name))
            continue;
        for (const auto& loaded : report.models) {
            const auto* current = config.weightVersion(loaded.model);
            bool wanted = current && current->version != loaded.version
                && !isAbandoned(loaded.model, current->version);
            if (!wanted || m_outstanding.contains(report.name) || m_outstanding.size() >= limit)
                continue;
            load_order order { report.name, report.address, report.incarnation, loaded.model,
                current->version };
            m_outstanding[report.name] = { order, now + m_loadTimeout };
            orders.push_back(std::move(order));
        }
    }
    return orders;
}

void load_planner::onOrderRejected(const load_order& order, instant now)
{
    m_outstanding.erase(order.target);
    m_notBefore[order.target] = now + backoffAfterFailure;
}

std::vector<std::string> load_planner::abandonedVersions() const
{
    std::vector<std::string> names;
    for (const auto& [key, record] : m_versions) {
        if (isAbandoned(key.first, key.second))
            names.push_back(key.first + ' ' + key.second);
    }
    return names;
}

} // namespace plumfold::core

#include "plumfold/core/plumfold_deployment_state.hpp"

namespace plumfold::core {

bool deployment_state::adopt(const deployment_document& next)
{
    if (next.version <= document.version)
        return false;
    document = next;
    ++revision;
    return true;
}

bool deployment_state::setInService(const std::string& failureDomain, bool inService)
{
    bool changed
        = inService ? outOfService.erase(failureDomain) > 0 : outOfService.insert(failureDomain).second;
    revision += changed;
    if (changed && inService)
        returns[failureDomain] = revision;
    return changed;
}

bool deployment_state::setCurrentWeights(const std::string& model, std::uint64_t version)
{
    auto& current = weights[model];
    if (version <= current)
        return false;
    current = version;
    ++revision;
    return true;
}

} // namespace plumfold::core

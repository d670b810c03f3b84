#include "plumfold/core/placement/plumfold_kv_links.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

/// Duration of a transfer between failure domains relative to one within a domain.
constexpr double remoteTransferFactor = 2;
constexpr double bitsPerByte = 8;
constexpr double megabitsPerSecondToBitsPerMs = 1'000;

bool isRate(double value)
{
    return std::isfinite(value) && value > 0;
}

bool isDuration(double value)
{
    return std::isfinite(value) && value >= 0;
}

} // namespace

kv_link linkOf(const part_store& store)
{
    return { store.failureDomain, store.linkMegabitsPerSecond, store.setupMs };
}

kv_link receivingLinkOf(const engine_limits& engine, const std::string& failureDomain)
{
    return { failureDomain, engine.linkMegabitsPerSecond, engineSetupMs };
}

kv_link sendingLinkOf(double megabitsPerSecond, const std::string& failureDomain)
{
    return { failureDomain, megabitsPerSecond, 0 };
}

std::optional<double> transferMs(
    std::uint64_t tokens, std::uint64_t bytesPerToken, const kv_link& source, const kv_link& receiver)
{
    if (bytesPerToken == 0 || !isRate(source.megabitsPerSecond) || !isRate(receiver.megabitsPerSecond)
        || !isDuration(source.setupMs) || !isDuration(receiver.setupMs))
        return std::nullopt;
    double bits = static_cast<double>(tokens) * static_cast<double>(bytesPerToken) * bitsPerByte;
    double rate = std::min(source.megabitsPerSecond, receiver.megabitsPerSecond);
    double factor = source.failureDomain == receiver.failureDomain ? 1 : remoteTransferFactor;
    return factor * bits / (rate * megabitsPerSecondToBitsPerMs) + source.setupMs + receiver.setupMs;
}

std::vector<std::string> unusableLinks(const std::vector<service_limits>& services)
{
    std::vector<std::string> unusable;
    for (const auto& service : services) {
        if (service.engine && !isRate(service.engine->linkMegabitsPerSecond))
            unusable.push_back(service.name + ": link of the engines");
        if (service.engine && service.engine->bytesPerToken == 0)
            unusable.push_back(service.name + ": KV bytes per token");
        if (service.store && !isRate(service.store->linkMegabitsPerSecond))
            unusable.push_back(service.name + ": link of the store");
        if (service.store && !isDuration(service.store->setupMs))
            unusable.push_back(service.name + ": setup time of the store");
    }
    return unusable;
}

} // namespace plumfold::core

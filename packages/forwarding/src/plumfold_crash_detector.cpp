#include "plumfold_crash_detector.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

namespace plumfold::forwarding {

namespace {

constexpr core::milliseconds probeTimeout { 250 };
constexpr core::milliseconds maxResultAge { 60'000 };

} // namespace

task<bool> crash_detector::hasEnded(
    std::string target, core::unix_milliseconds startedAt, std::string address)
{
    incarnation key { target, startedAt };
    if (auto known = m_probes.find(key); known != m_probes.end()) {
        auto running = known->second;
        error_code ignored;
        if (!running->isFinished)
            co_await running->finished.async_wait(into(ignored));
        co_return running->hasEnded;
    }
    auto current = std::make_shared<probe>(m_io);
    current->startedAt = runtime::now();
    current->finished.expires_after(2 * probeTimeout);
    m_probes[key] = current;
    beast::tcp_stream stream(m_io);
    error_code error;
    stream.expires_after(probeTimeout);
    co_await stream.async_connect(endpointOf(address), into(error));
    // A target beyond its limit of connections may refuse one, but keeps those that it has.
    current->hasEnded = error == asio::error::connection_refused && !m_connections.hasUsable(target, address);
    current->isFinished = true;
    current->finished.cancel();
    if (!current->hasEnded)
        m_probes.erase(key);
    runtime::log_event("target_probed")
        .with("target", target)
        .with("address", address)
        .with("started_at", startedAt)
        .with("result", error ? error.message() : "connected")
        .with("ended", current->hasEnded ? "true" : "false");
    co_return current->hasEnded;
}

void crash_detector::expire(core::instant now)
{
    std::erase_if(m_probes, [&](const auto& each) {
        return each.second->isFinished && now - each.second->startedAt > maxResultAge;
    });
}

} // namespace plumfold::forwarding

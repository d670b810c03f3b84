#include "plumfold_crash_detector.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

namespace plumfold::forwarding {

namespace {

constexpr core::milliseconds probeTimeout { 250 };
/// A connection that stays open for this time has been accepted by a running target.
constexpr core::milliseconds closeTimeout { 100 };
constexpr int maxConnects = 3;
constexpr core::milliseconds maxResultAge { 60'000 };

} // namespace

const char* crash_detector::resultName(probe_result result)
{
    constexpr const char* names[] = { "refused", "connected", "closed", "no_answer" };
    return names[static_cast<int>(result)];
}

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
    current->finished.expires_after(maxConnects * (probeTimeout + closeTimeout));
    m_probes[key] = current;
    auto result = co_await probeAddress(endpointOf(address));
    // A target beyond its limit of connections may refuse one, but keeps those that it has.
    current->hasEnded = result == probe_result::refused && !m_connections.hasUsable(target, address);
    current->isFinished = true;
    current->finished.cancel();
    if (!current->hasEnded)
        m_probes.erase(key);
    runtime::log_event("target_probed")
        .with("target", target)
        .with("address", address)
        .with("started_at", startedAt)
        .with("result", resultName(result))
        .with("ended", current->hasEnded ? "true" : "false");
    co_return current->hasEnded;
}

/// The end of a process closes its sockets one after another, so the listener may outlive other connections
/// for a moment. Then it closes those that it has not accepted.
task<crash_detector::probe_result> crash_detector::probeAddress(asio::ip::tcp::endpoint address)
{
    for (int tries = 0; tries < maxConnects; ++tries) {
        beast::tcp_stream stream(m_io);
        error_code error;
        stream.expires_after(probeTimeout);
        co_await stream.async_connect(address, into(error));
        if (error == asio::error::connection_refused)
            co_return probe_result::refused;
        if (error)
            co_return probe_result::no_answer;
        char byte = 0;
        stream.expires_after(closeTimeout);
        co_await stream.async_read_some(asio::buffer(&byte, 1), into(error));
        bool isClosed = error && error != beast::error::timeout;
        if (!isClosed)
            co_return probe_result::connected;
    }
    co_return probe_result::closed;
}

void crash_detector::expire(core::instant now)
{
    std::erase_if(m_probes, [&](const auto& each) {
        return each.second->isFinished && now - each.second->startedAt > maxResultAge;
    });
}

} // namespace plumfold::forwarding

#include "plumfold_crash_report_client.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <algorithm>
#include <utility>

namespace plumfold::forwarding {

namespace {

constexpr std::chrono::milliseconds answerTimeout { 300 };
constexpr auto retryInterval = 100 * kj::MILLISECONDS;
constexpr core::milliseconds failureBackoff { 100 };
/// A control VM that comes back later knows the verdicts from the log.
constexpr core::milliseconds maxNewsAge { 60'000 };
constexpr std::size_t maxNews = 2'000;
constexpr std::size_t maxCrashesPerCall = 200;

/// @param delay since the news were sent first.
void append(crash_news& all, const crash_news& news, core::milliseconds delay)
{
    for (const auto& each : news.crashes) {
        all.crashes.push_back(each);
        all.crashes.back().age += delay;
    }
    for (const auto& each : news.successes)
        all.successes.push_back({ each.trait, each.age + delay });
    all.rejected.insert(all.rejected.end(), news.rejected.begin(), news.rejected.end());
}

template <class List, class Values> void writeAll(List out, const Values& values)
{
    unsigned index = 0;
    for (const auto& value : values)
        wire::write(out[index++], value);
}

} // namespace

crash_report_client::crash_report_client(wire::rpc_thread& rpc, control_sessions& sessions)
    : m_rpc(rpc)
    , m_sessions(sessions)
{
    m_rpc.run([this] {
        m_tasks = kj::heap<wire::task_group>();
        m_tasks->add(retryLoop());
    });
}

void crash_report_client::stop()
{
    m_rpc.run([this] { m_tasks = nullptr; });
}

void crash_report_client::send(crash_news news)
{
    m_rpc.post([this, news = std::move(news)]() mutable {
        auto now = runtime::now();
        while (!m_news.empty() && (m_news.size() >= maxNews || now - m_news.front().since > maxNewsAge))
            m_news.pop_front();
        m_news.push_back({ ++m_latest, now, std::move(news) });
        sendToAll();
    });
}

void crash_report_client::sendToAll()
{
    for (const auto& [address, link] : m_sessions.links()) {
        if (link.isInService && runtime::now() - link.failedAt >= failureBackoff)
            sendTo(address);
    }
}

void crash_report_client::sendTo(const std::string& address)
{
    auto& to = m_sent[address];
    if (to.isSending || to.latest == m_latest)
        return;
    to.isSending = true;
    m_tasks->add(sendNext(address).then(
        [this, address] {
            m_sent[address].isSending = false;
            m_sessions.onSuccess(address);
            sendTo(address);
        },
        [this, address](kj::Exception&& exception) {
            m_sent[address].isSending = false;
            m_sessions.onFailure(address, m_sent[address].generation, exception);
        }));
}

kj::Promise<void> crash_report_client::sendNext(const std::string& address)
{
    return m_sessions.at(address).then([this, address](wire::EntrySession::Client session) {
        auto& to = m_sent[address];
        auto generation = m_sessions.links().at(address).generation;
        // The control VM may have been restarted.
        if (std::exchange(to.generation, generation) != generation)
            to.latest = 0;
        crash_news all;
        auto number = to.latest;
        for (const auto& each : m_news) {
            if (each.number <= to.latest || all.crashes.size() >= maxCrashesPerCall)
                continue;
            append(
                all, each.news, std::chrono::duration_cast<core::milliseconds>(runtime::now() - each.since));
            number = each.number;
        }
        if (number == to.latest) {
            to.latest = m_latest;
            return kj::Promise<void>(kj::READY_NOW);
        }
        auto request = session.reportCrashesRequest();
        writeAll(request.initCrashes(all.crashes.size()), all.crashes);
        writeAll(request.initSuccesses(all.successes.size()), all.successes);
        auto rejected = request.initRejected(all.rejected.size());
        for (unsigned index = 0; index < all.rejected.size(); ++index)
            rejected.set(index, all.rejected[index]);
        return wire::withTimeout(m_rpc, request.send().ignoreResult(), answerTimeout)
            .then([this, address, number, generation] {
                auto& to = m_sent[address];
                if (to.generation == generation)
                    to.latest = std::max(to.latest, number);
            });
    });
}

/// Sends news whose call failed again.
kj::Promise<void> crash_report_client::retryLoop()
{
    return m_rpc.timer().afterDelay(retryInterval).then([this] {
        sendToAll();
        return retryLoop();
    });
}

} // namespace plumfold::forwarding

#include "plumfold_crash_report_client.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <utility>

namespace plumfold::forwarding {

namespace {

constexpr std::chrono::milliseconds answerTimeout { 300 };
constexpr auto retryInterval = 100 * kj::MILLISECONDS;
constexpr core::milliseconds failureBackoff { 100 };
/// A control VM that comes back later knows the verdicts from the log.
constexpr core::milliseconds maxNewsAge { 60'000 };
constexpr std::size_t maxNews = 2'000;
constexpr std::size_t maxNewsPerCall = 200;

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
        m_news = std::make_unique<outbox>(
            m_rpc, m_sessions, control_outbox_options { maxNews, maxNewsPerCall, retryInterval },
            [this] { return receivers(); },
            [this](auto& session, const auto& due) { return sendNews(session, due); });
    });
}

void crash_report_client::stop()
{
    m_rpc.run([this] { m_news.reset(); });
}

void crash_report_client::send(crash_news news)
{
    m_rpc.post([this, news = std::move(news)]() mutable {
        m_news->add(std::move(news), runtime::now() + maxNewsAge);
    });
}

std::vector<std::string> crash_report_client::receivers() const
{
    std::vector<std::string> all;
    for (const auto& [address, link] : m_sessions.links()) {
        if (link.isInService && runtime::now() - link.failedAt >= failureBackoff)
            all.push_back(address);
    }
    return all;
}

kj::Promise<void> crash_report_client::sendNews(
    wire::EntrySession::Client& session, const outbox::entries& due)
{
    auto now = runtime::now();
    crash_news all;
    for (const auto* each : due)
        append(all, each->item, std::chrono::duration_cast<core::milliseconds>(now - each->addedAt));
    auto request = session.reportCrashesRequest();
    writeAll(request.initCrashes(all.crashes.size()), all.crashes);
    writeAll(request.initSuccesses(all.successes.size()), all.successes);
    auto rejected = request.initRejected(all.rejected.size());
    for (unsigned index = 0; index < all.rejected.size(); ++index)
        rejected.set(index, all.rejected[index]);
    return wire::withTimeout(m_rpc, request.send().ignoreResult(), answerTimeout);
}

} // namespace plumfold::forwarding

#include "plumfold_stream_origin_client.hpp"

#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <algorithm>
#include <utility>

namespace plumfold::forwarding {

namespace {

constexpr std::chrono::milliseconds answerTimeout { 150 };
constexpr core::milliseconds searchTimeout { 400 };
constexpr core::milliseconds failureBackoff { 300 };
/// A control VM that was in service this recently is asked for origins: it may only be cut off from others.
constexpr core::milliseconds maxAbsence { 60'000 };
constexpr auto retryInterval = 200 * kj::MILLISECONDS;
constexpr std::size_t maxOwnRecords = 20'000;
constexpr std::size_t maxRecordsPerCall = 500;

} // namespace

/// A search that is waited for on the event loop thread.
struct stream_origin_client::search {
    search(asio::io_context& io, std::uint64_t stream, std::string service)
        : stream(stream)
        , service(service)
        , answers(service)
        , finished(io)
        , result(std::move(service))
    {
    }

    std::uint64_t stream;
    std::string service;
    core::origin_search answers; // on the RPC thread
    std::size_t openCalls = 0; // on the RPC thread
    bool isFinished = false; // on the RPC thread
    asio::steady_timer finished; // cancelled by the result
    core::origin_search result;
};

stream_origin_client::stream_origin_client(asio::io_context& io, wire::rpc_thread& rpc,
    control_sessions& sessions, const runtime::settings& settings)
    : m_io(io)
    , m_rpc(rpc)
    , m_sessions(sessions)
    , m_settings(settings)
    , m_own(maxOwnRecords)
{
    m_rpc.run([this] {
        m_tasks = kj::heap<wire::task_group>();
        m_records = std::make_unique<control_outbox<core::stream_record>>(
            m_rpc, m_sessions, control_outbox_options { maxOwnRecords, maxRecordsPerCall, retryInterval },
            [this] { return holders(); },
            [this](auto& session, const auto& due) { return sendRecords(session, due); });
    });
}

void stream_origin_client::stop()
{
    m_rpc.run([this] {
        m_records.reset();
        m_tasks = nullptr;
    });
}

void stream_origin_client::record(core::stream_record record)
{
    m_rpc.post([this, record = std::move(record)] {
        auto now = runtime::now();
        m_own.record(record, now);
        m_records->add(record, now + record.keepFor);
    });
}

/// @return the control VMs that this entry's records are sent to: one in its failure domain and one in
/// another, if there are any in service.
std::vector<std::string> stream_origin_client::holders() const
{
    auto now = runtime::now();
    auto hash = core::hashBytes(m_settings.process.name);
    auto rank = [&](const auto& each) {
        bool isRemote = each->second.failureDomain != m_settings.process.failureDomain;
        return std::pair(isRemote, core::hashBytes(each->first, hash));
    };
    const auto& links = m_sessions.links();
    std::vector<std::map<std::string, control_sessions::link>::const_iterator> usable;
    for (auto each = links.begin(); each != links.end(); ++each) {
        if (each->second.isInService && now - each->second.failedAt >= failureBackoff)
            usable.push_back(each);
    }
    std::sort(usable.begin(), usable.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    std::vector<std::string> chosen;
    std::string firstDomain;
    for (const auto& each : usable) {
        bool isSecond = chosen.size() == 1 && each->second.failureDomain != firstDomain;
        if (!chosen.empty() && !isSecond)
            continue;
        chosen.push_back(each->first);
        if (chosen.size() == 1)
            firstDomain = each->second.failureDomain;
    }
    return chosen;
}

kj::Promise<void> stream_origin_client::sendRecords(
    wire::EntrySession::Client& session, const control_outbox<core::stream_record>::entries& due)
{
    auto now = runtime::now();
    auto request = session.recordStreamsRequest();
    auto streams = request.initStreams(due.size());
    for (unsigned index = 0; index < due.size(); ++index) {
        auto record = due[index]->item;
        record.keepFor = std::chrono::duration_cast<core::milliseconds>(due[index]->keptUntil - now);
        wire::write(streams[index], record);
    }
    return wire::withTimeout(m_rpc, request.send().ignoreResult(), answerTimeout);
}

task<core::origin_search> stream_origin_client::find(std::uint64_t stream, std::string service)
{
    auto pending = std::make_shared<search>(m_io, stream, std::move(service));
    pending->finished.expires_after(searchTimeout);
    m_rpc.post([this, pending] { startSearch(pending); });
    error_code ignored;
    co_await pending->finished.async_wait(into(ignored));
    co_return pending->result;
}

void stream_origin_client::startSearch(std::shared_ptr<search> search)
{
    core::origin_answer own;
    own.origin = m_own.find(search->stream, runtime::now());
    if (own.origin) {
        search->answers.addAnswer({}, own);
        finishSearch(search);
        return;
    }
    std::vector<std::string> asked;
    for (const auto& [address, each] : m_sessions.links()) {
        if (each.isInService || runtime::now() - each.seenAt < maxAbsence)
            asked.push_back(address);
    }
    search->openCalls = asked.size();
    if (asked.empty())
        finishSearch(search);
    for (const auto& address : asked)
        m_tasks->add(ask(address, search));
}

kj::Promise<void> stream_origin_client::ask(const std::string& address, std::shared_ptr<search> search)
{
    auto generation = std::make_shared<std::uint64_t>(0); // of the session
    auto asked = m_sessions.at(address).then(
        [this, address, search, generation](wire::EntrySession::Client session) {
            *generation = m_sessions.links().at(address).generation;
            auto request = session.findStreamRequest();
            request.setStream(search->stream);
            request.setService(search->service);
            return wire::withTimeout(m_rpc, request.send().dropPipeline(), answerTimeout);
        });
    return asked.then(
        [this, address, search](capnp::Response<wire::EntrySession::FindStreamResults> response) {
            core::origin_answer answer;
            if (response.getFound())
                answer.origin = wire::read(response.getRecord()).origin;
            for (auto version : response.getSoftwareVersions())
                answer.softwareVersions.insert(version.cStr());
            for (auto member : response.getMembers())
                answer.members.insert(member.cStr());
            search->answers.addAnswer(address, answer);
            if (--search->openCalls == 0 || answer.origin)
                finishSearch(search);
        },
        [this, address, search, generation](kj::Exception&& exception) {
            m_sessions.onFailure(address, *generation, exception);
            if (--search->openCalls == 0)
                finishSearch(search);
        });
}

void stream_origin_client::finishSearch(const std::shared_ptr<search>& search)
{
    if (std::exchange(search->isFinished, true))
        return;
    asio::post(m_io, [search, result = search->answers] {
        search->result = result;
        search->finished.cancel();
    });
}

} // namespace plumfold::forwarding

#include "plumfold_place_client.hpp"

#include "plumfold/core/places/plumfold_contention_detector.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <algorithm>
#include <utility>

namespace plumfold::forwarding {

namespace {

/// Time for the answer to arrive beyond the time that a request may wait at the issuer.
constexpr std::chrono::milliseconds answerMargin { 100 };
/// Ends are collected for this time before they are sent.
constexpr std::chrono::milliseconds endBatchTime { 5 };
/// Issuers expire places that were not renewed for 1.5 s.
constexpr std::chrono::milliseconds renewalInterval { 400 };
/// Renewals show whether the issuer still responds, so that requests do not wait in vain for one that does
/// not.
constexpr std::chrono::milliseconds updateTimeout { 250 };
/// After a failed call, a control VM is not asked for this time.
constexpr core::milliseconds failureBackoff { 500 };
/// A control VM of an older version is not asked for this time; it may be replaced by a newer one.
constexpr core::milliseconds unsupportedBackoff { 2'000 };
/// When the lease moves, its former holder decides nothing and the next one is asked.
constexpr int maxIssuersAsked = 2;

} // namespace

void place_holder::end(core::place_outcome outcome)
{
    if (auto* client = std::exchange(m_client, nullptr))
        client->end(m_id, outcome);
}

void place_wait::drop()
{
    if (!m_timer)
        return;
    m_isDropped = true;
    m_timer->cancel();
}

place_client::place_client(asio::io_context& io, wire::rpc_thread& rpc, control_sessions& sessions)
    : m_io(io)
    , m_rpc(rpc)
    , m_sessions(sessions)
    , m_client(runtime::randomNumber())
    , m_flushTimer(io)
    , m_renewTimer(io)
{
    m_rpc.run([this] { m_tasks = kj::heap<wire::task_group>(); });
}

void place_client::stop()
{
    m_isStopped = true;
    m_rpc.run([this] {
        m_calls.clear();
        m_tasks = nullptr;
    });
}

void place_client::setIssuers(std::map<std::string, std::string> issuers)
{
    m_issuers = std::move(issuers);
    for (auto& [number, each] : m_waiting) {
        auto known = m_issuers.find(each.asked.failureDomain);
        bool isReplaced
            = known != m_issuers.end() && !known->second.empty() && known->second != each.asked.address;
        if (isReplaced)
            each.pending->answered.cancel();
    }
}

std::optional<place_client::issuer> place_client::issuerOf(const std::string& service) const
{
    std::vector<std::string> domains;
    for (const auto& [domain, address] : m_issuers)
        domains.push_back(domain);
    auto found = m_issuers.find(core::placeDomainOf(service, domains));
    if (found == m_issuers.end() || found->second.empty())
        return std::nullopt;
    return issuer { found->first, found->second };
}

std::size_t place_client::heldOn(const std::string& target) const
{
    return static_cast<std::size_t>(std::count_if(
        m_held.begin(), m_held.end(), [&](const auto& each) { return each.second.target.target == target; }));
}

task<acquired_place> place_client::acquire(core::place_request request, place_wait& wait)
{
    acquired_place out;
    wait.m_isDropped = false;
    request.id = { m_client, ++m_lastNumber };
    auto until = runtime::now() + request.maxWait;
    std::optional<issuer> asked;
    for (int count = 0; count < maxIssuersAsked && !out.decision && !wait.isDropped(); ++count) {
        auto next = issuerOf(request.service);
        auto left = std::chrono::duration_cast<core::milliseconds>(until - runtime::now());
        if (!next || next == asked || (count > 0 && left <= core::milliseconds(0)))
            break;
        asked = next;
        request.maxWait = count == 0 ? request.maxWait : left;
        auto pending = std::make_shared<pending_call>(m_io);
        bool isDecided = co_await ask(pending, *asked, request, wait);
        if (isDecided && !wait.isDropped())
            out.decision = pending->decision;
    }
    if (!asked)
        co_return out;
    bool isGranted = out.decision && out.decision->refusal == core::place_refusal::none;
    auto granted = std::find_if(request.candidates.begin(), request.candidates.end(), [&](const auto& each) {
        return isGranted && each.target == out.decision->target && each.startedAt == out.decision->startedAt;
    });
    if (granted != request.candidates.end()) {
        m_held[request.id] = { asked->failureDomain, request.service, *granted };
        out.place = place_holder(*this, request.id);
        armRenewal();
        co_return out;
    }
    // The issuer may have granted a place whose decision does not arrive in time.
    if (!out.decision || isGranted)
        queueEnd({ asked->failureDomain, request.service }, { request.id, core::place_outcome::unused });
    if (isGranted)
        out.decision.reset();
    co_return out;
}

/// @return whether the issuer has decided.
task<bool> place_client::ask(std::shared_ptr<pending_call> pending, const issuer& asked,
    const core::place_request& request, place_wait& wait)
{
    m_waiting[request.id.number] = { asked, request.service, pending };
    armRenewal();
    // Includes the time until the RPC thread sends the call.
    pending->answered.expires_after(request.maxWait + answerMargin);
    m_rpc.post([this, pending, asked, request] { sendAcquire(pending, asked, request); });
    wait.m_timer = &pending->answered;
    error_code ignored;
    co_await pending->answered.async_wait(into(ignored));
    wait.m_timer = nullptr;
    m_waiting.erase(request.id.number);
    if (!pending->isAnswered)
        m_rpc.post([this, pending] { withdraw(pending); });
    co_return pending->decision.has_value();
}

void place_client::end(core::place_id id, core::place_outcome outcome)
{
    auto ended = m_held.extract(id);
    if (!ended.empty())
        queueEnd({ ended.mapped().failureDomain, ended.mapped().service }, { id, outcome });
}

void place_client::queueEnd(const update_key& key, const core::place_end& ended)
{
    if (m_isStopped)
        return;
    m_ended[key].push_back(ended);
    if (std::exchange(m_isFlushArmed, true))
        return;
    m_flushTimer.expires_after(endBatchTime);
    m_flushTimer.async_wait([this](const error_code& error) {
        if (!error)
            flushEnds();
    });
}

void place_client::flushEnds()
{
    m_isFlushArmed = false;
    for (auto& [key, ended] : std::exchange(m_ended, {}))
        post(key, { {}, std::move(ended) });
}

void place_client::armRenewal()
{
    if (m_isStopped || std::exchange(m_isRenewalArmed, true))
        return;
    m_renewTimer.expires_after(renewalInterval);
    m_renewTimer.async_wait([this](const error_code& error) {
        if (!error)
            renew();
    });
}

void place_client::renew()
{
    m_isRenewalArmed = false;
    std::map<update_key, update> due;
    for (const auto& [id, each] : m_held)
        due[{ each.failureDomain, each.service }].held.push_back({ id, each.target });
    for (const auto& [number, each] : m_waiting)
        due.try_emplace({ each.asked.failureDomain, each.service });
    for (auto& [key, changes] : due)
        post(key, std::move(changes));
    if (!due.empty())
        armRenewal();
}

void place_client::post(const update_key& key, update changes)
{
    auto found = m_issuers.find(key.first);
    if (found == m_issuers.end() || found->second.empty())
        return;
    m_rpc.post([this, asked = issuer { found->first, found->second }, service = key.second,
                   changes = std::move(changes)] { sendUpdate(asked, service, changes); });
}

bool place_client::isFailing(const std::string& address) const
{
    auto now = runtime::now();
    auto unsupported = m_unsupportedUntil.find(address);
    if (unsupported != m_unsupportedUntil.end() && now < unsupported->second)
        return true;
    auto known = m_sessions.links().find(address);
    return known != m_sessions.links().end() && known->second.failedAt != core::instant {}
    && now - known->second.failedAt < failureBackoff;
}

void place_client::sendAcquire(
    std::shared_ptr<pending_call> pending, const issuer& asked, const core::place_request& request)
{
    if (m_tasks.get() == nullptr || isFailing(asked.address)) {
        answer(pending, std::nullopt);
        return;
    }
    auto generation = std::make_shared<std::uint64_t>(0); // of the session
    auto canceler = kj::heap<kj::Canceler>();
    auto call
        = canceler->wrap(m_sessions.at(asked.address)
                             .then([this, asked, generation, request](wire::EntrySession::Client session) {
                                 *generation = m_sessions.links().at(asked.address).generation;
                                 auto message = session.acquirePlaceRequest();
                                 message.setFailureDomain(asked.failureDomain);
                                 wire::write(message.initRequest(), request);
                                 return wire::withTimeout(
                                     m_rpc, message.send().dropPipeline(), request.maxWait + answerMargin);
                             }));
    m_calls[pending.get()] = kj::mv(canceler);
    m_tasks->add(call.then(
        [this, pending](capnp::Response<wire::EntrySession::AcquirePlaceResults> response) {
            m_calls.erase(pending.get());
            std::optional<core::place_decision> decision;
            if (response.getDecided())
                decision = wire::read(response.getDecision());
            answer(pending, std::move(decision));
        },
        [this, pending, address = asked.address, generation](kj::Exception&& exception) {
            bool isWithdrawn = m_calls.erase(pending.get()) == 0;
            answer(pending, std::nullopt);
            if (!isWithdrawn)
                onCallFailed(address, *generation, exception);
        }));
}

/// Drops a call, so that the issuer learns that the request does not wait any more.
void place_client::withdraw(const std::shared_ptr<pending_call>& pending)
{
    auto call = m_calls.extract(pending.get());
    if (!call.empty())
        call.mapped()->cancel("the request does not wait any more");
}

void place_client::sendUpdate(const issuer& asked, const std::string& service, const update& changes)
{
    if (m_tasks.get() == nullptr || isFailing(asked.address))
        return;
    auto generation = std::make_shared<std::uint64_t>(0); // of the session
    auto sent = m_sessions.at(asked.address)
                    .then([this, asked, generation, service, changes](wire::EntrySession::Client session) {
                        *generation = m_sessions.links().at(asked.address).generation;
                        auto message = session.updatePlacesRequest();
                        message.setFailureDomain(asked.failureDomain);
                        message.setService(service);
                        auto held = message.initHeld(static_cast<unsigned>(changes.held.size()));
                        for (unsigned index = 0; index < held.size(); ++index)
                            wire::write(held[index], changes.held[index]);
                        auto ended = message.initEnded(static_cast<unsigned>(changes.ended.size()));
                        for (unsigned index = 0; index < ended.size(); ++index)
                            wire::write(ended[index], changes.ended[index]);
                        return wire::withTimeout(m_rpc, message.send().ignoreResult(), updateTimeout);
                    });
    m_tasks->add(sent.then([] {},
        [this, address = asked.address, generation](
            kj::Exception&& exception) { onCallFailed(address, *generation, exception); }));
}

void place_client::onCallFailed(
    const std::string& address, std::uint64_t generation, const kj::Exception& exception)
{
    // A control VM of an older version does not know the call, and its session is in order.
    if (exception.getType() == kj::Exception::Type::UNIMPLEMENTED)
        m_unsupportedUntil[address] = runtime::now() + unsupportedBackoff;
    else
        m_sessions.onFailure(address, generation, exception);
}

void place_client::answer(
    const std::shared_ptr<pending_call>& pending, std::optional<core::place_decision> decision)
{
    asio::post(m_io, [pending, decision = std::move(decision)] {
        pending->isAnswered = true;
        pending->decision = decision;
        pending->answered.cancel();
    });
}

} // namespace plumfold::forwarding

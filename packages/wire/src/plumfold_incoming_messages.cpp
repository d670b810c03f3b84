#include "plumfold_incoming_messages.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <kj/debug.h>

namespace plumfold::wire {

namespace {

constexpr auto decisionInterval = 100 * kj::MILLISECONDS;
constexpr core::milliseconds logInterval { 1'000 }; // senders that reconnect at once must not fill the log

} // namespace

incoming_messages::reservation::reservation(std::shared_ptr<incoming_messages> owner, std::uint64_t number)
    : m_owner(std::move(owner))
    , m_number(number)
{
}

incoming_messages::reservation::~reservation()
{
    m_owner->release(m_number);
}

void incoming_messages::reservation::receive()
{
    m_owner->m_budget.receive(m_number, runtime::now());
}

void incoming_messages::reservation::complete()
{
    m_owner->m_budget.complete(m_number);
}

incoming_messages::incoming_messages(kj::Timer& timer)
    : m_timer(timer)
    , m_ticks(*this)
{
}

kj::Promise<incoming_messages::admission> incoming_messages::announce(
    std::uint64_t bytes, const std::string& peer)
{
    if (!m_budget.isAllowed(bytes)) {
        logRefusal(peer, bytes, "too_large");
        return KJ_EXCEPTION(FAILED, "a message is too large", bytes);
    }
    auto number = m_budget.announce(bytes, runtime::now());
    auto admitted = kj::newPromiseAndFulfiller<void>();
    auto refused = kj::newPromiseAndFulfiller<void>();
    m_messages.emplace(
        number, message { bytes, peer, kj::mv(admitted.fulfiller), kj::mv(refused.fulfiller) });
    admission result { kj::heap<reservation>(shared_from_this(), number), kj::mv(refused.promise) };
    decide();
    return admitted.promise.then([result = kj::mv(result)]() mutable { return kj::mv(result); });
}

void incoming_messages::release(std::uint64_t number)
{
    m_budget.release(number);
    m_messages.erase(number);
    if (m_budget.hasWaiting())
        decide();
}

void incoming_messages::decide()
{
    auto decisions = m_budget.decide(runtime::now());
    for (auto number : decisions.admitted) {
        auto& admitted = m_messages.at(number);
        admitted.isAdmitted = true;
        admitted.admitted->fulfill();
    }
    for (auto number : decisions.refused)
        refuse(m_messages.at(number));
    if (m_isTicking || !m_budget.hasWaiting())
        return;
    m_isTicking = true;
    m_ticks.add(m_timer.afterDelay(decisionInterval).then([this] {
        m_isTicking = false;
        decide();
    }));
}

void incoming_messages::refuse(message& message)
{
    logRefusal(message.peer, message.bytes, message.isAdmitted ? "too_slow" : "no_room");
    auto reason = KJ_EXCEPTION(OVERLOADED, "no room for a message", message.bytes, message.isAdmitted);
    message.admitted->reject(kj::cp(reason));
    message.refused->reject(kj::mv(reason));
}

void incoming_messages::logRefusal(const std::string& peer, std::uint64_t bytes, const char* reason)
{
    ++m_unloggedRefusals;
    auto now = runtime::now();
    if (m_hasLogged && now - m_latestLogAt < logInterval)
        return;
    runtime::log_event("rpc_message_refused", runtime::log_level::warning)
        .with("peer", peer)
        .with("announced_bytes", bytes)
        .with("reason", reason)
        .with("used_bytes", m_budget.usedBytes())
        .with("refusals", m_unloggedRefusals);
    m_unloggedRefusals = 0;
    m_latestLogAt = now;
    m_hasLogged = true;
}

} // namespace plumfold::wire

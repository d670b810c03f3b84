#include "plumfold/core/plumfold_dispatcher.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

// How long a request waits while no target may run it, before it is rejected.
constexpr milliseconds noTargetTimeout { 500 };
// How long a target is avoided after a failed attempt, or after it refused a request.
constexpr milliseconds backOffAfterFailure { 1000 };
constexpr milliseconds backOffAfterRefusal { 100 };
constexpr milliseconds suspicionMaxAge { 600'000 };
// Retry-After values sent to callers.
constexpr milliseconds retryAfterNoTarget { 1000 };
constexpr milliseconds retryAfterShort { 500 };
constexpr milliseconds ownerUnreachableBackOff { 200 };

run_state runStateAfter(attempt_outcome outcome)
{
    bool neverRan = outcome == attempt_outcome::refused || outcome == attempt_outcome::not_reached;
    return neverRan ? run_state::not_run : run_state::unknown;
}

} // namespace

dispatcher::dispatcher(dispatch_options options)
    : m_options(std::move(options))
    , m_targets(m_options.targetExpiry)
    , m_entries(m_options.entry, m_options.failureDomain, m_options.entryExpiry)
    , m_ledger(m_options.permitLease, m_options.seed & 0xffffffff)
    , m_prefixes(m_options.maxKnownBlocks)
    , m_link(m_options.linkBytesPerSecond)
    , m_retries(m_options.retryShare, m_options.retryReserve)
    , m_suspects(suspicionMaxAge)
    , m_router(m_options)
{
}

std::string dispatcher::classOf(const request_spec& spec)
{
    if (!spec.service.empty())
        return "service/" + spec.service;
    return "model/" + spec.model + '/' + spec.adapter + '/' + spec.version;
}

waiting_request dispatcher::toWaiting(const request_spec& spec) const
{
    waiting_request waiting;
    waiting.request = spec.number;
    waiting.customer = spec.customer;
    const auto* customer = m_view.config().customer(spec.customer);
    waiting.weight = customer ? customer->weight : 1;
    waiting.cost = std::max(1u, spec.promptTokens + spec.maxTokens);
    waiting.priority = spec.priority;
    waiting.deadline = spec.deadline;
    return waiting;
}

std::size_t dispatcher::waiting() const
{
    std::size_t count = 0;
    for (const auto& [name, requestClass] : m_classes)
        count += requestClass.queue.size();
    return count;
}

// ---------------------------------------------------------------- admission

std::optional<error_info> dispatcher::admissionError(const request_spec& spec, instant now)
{
    if (m_suspects.suspicionOf(spec.fingerprint, now) == suspicion::condemned) {
        return makeError(error_kind::crashes_targets, run_state::not_run,
            "this request has crashed the targets that ran it: change it, or ask an operator to withdraw the "
            "verdict");
    }
    if (waiting() >= m_options.maxWaiting)
        return makeError(error_kind::overloaded, run_state::not_run,
            "too many requests wait: come back later", m_options.maxQueueWait);
    auto& requestClass = m_classes[classOf(spec)];
    const auto* customer = m_view.config().customer(spec.customer);
    if (customer && requestClass.queue.sizeOf(spec.customer) >= std::max(1u, customer->maxQueued))
        return makeError(error_kind::customer_limit, run_state::not_run,
            "too many requests of this customer wait: come back later or ask for a higher limit",
            retryAfterShort);
    milliseconds wait = requestClass.predictor.wait(requestClass.queue.waitingCost(), now);
    // Admitting a request that will miss the limit would only delay the requests behind it.
    milliseconds afterStart = requestClass.predictor.firstTokenAfterStart();
    bool late = wait > milliseconds(0) && wait + afterStart > m_options.maxTimeToFirstToken;
    if (wait > m_options.maxQueueWait || (late && !spec.model.empty()))
        return makeError(error_kind::overloaded, run_state::not_run,
            "the wait for a target would be too long: come back later", wait);
    auto expected = spec.model.empty() ? milliseconds(0) : m_speeds.firstToken(spec.model, 0);
    if (now + wait + expected > spec.deadline)
        return makeError(error_kind::deadline_unreachable, run_state::not_run,
            "the deadline cannot be met: come back later or allow more time",
            std::max(wait, retryAfterShort));
    return std::nullopt;
}

dispatcher::actions dispatcher::submit(const request_spec& spec, instant now)
{
    actions out;
    if (auto error = admissionError(spec, now)) {
        out.push_back(reject_action { spec.number, *error });
        return out;
    }
    m_retries.onAttempt();
    pending_request request;
    request.spec = spec;
    m_requests[spec.number] = std::move(request);
    auto& requestClass = m_classes[classOf(spec)];
    enqueue(spec, requestClass, now);
    dispatchWaiting(now, out);
    return out;
}

void dispatcher::enqueue(const request_spec& spec, request_class& requestClass, instant now)
{
    if (requestClass.queue.size() == 0) {
        requestClass.lastEligibleAt = now;
        requestClass.predictor.onBusy(now);
    }
    requestClass.queue.push(toWaiting(spec));
}

dispatcher::actions dispatcher::cancel(request_number request, instant now)
{
    actions out;
    auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.stage == request_stage::running)
        return out;
    m_classes[classOf(found->second.spec)].queue.remove(request);
    m_requests.erase(found);
    dispatchWaiting(now, out);
    return out;
}

void dispatcher::reject(request_number request, error_info error, actions& out)
{
    auto found = m_requests.find(request);
    if (found != m_requests.end()) {
        // An earlier attempt may have run on its target.
        if (found->second.retried)
            error.ran = run_state::unknown;
        m_requests.erase(found);
    }
    out.push_back(reject_action { request, std::move(error) });
}

// ---------------------------------------------------------------- dispatching

std::set<std::string> dispatcher::customersAtLimit() const
{
    std::set<std::string> names;
    for (const auto& [name, running] : m_runningByCustomer) {
        const auto* customer = m_view.config().customer(name);
        if (customer && running >= customer->maxInFlight)
            names.insert(name);
    }
    return names;
}

void dispatcher::dispatchWaiting(instant now, actions& out)
{
    for (auto& [name, requestClass] : m_classes)
        dispatchClass(requestClass, now, out);
}

void dispatcher::dispatchClass(request_class& requestClass, instant now, actions& out)
{
    // A request that cannot start now, such as a suspect that must run alone, blocks only its own customer.
    std::set<std::string> blocked = customersAtLimit();
    while (const waiting_request* front = requestClass.queue.front(blocked)) {
        request_number number = front->request;
        std::string customer = front->customer;
        bool anyEligible = false;
        bool started = tryStart(m_requests.at(number), requestClass, now, out, anyEligible);
        if (anyEligible)
            requestClass.lastEligibleAt = now;
        if (started) {
            blocked = customersAtLimit();
            continue;
        }
        bool timedOut = !anyEligible && now - requestClass.lastEligibleAt >= noTargetTimeout;
        if (timedOut) {
            requestClass.queue.remove(number);
            reject(number,
                makeError(error_kind::no_target, run_state::not_run,
                    "no target that may run this request is in service: come back later", retryAfterNoTarget),
                out);
            continue;
        }
        blocked.insert(std::move(customer));
    }
}

bool dispatcher::tryStart(
    pending_request& request, request_class& requestClass, instant now, actions& out, bool& anyEligible)
{
    routing_view view { m_view, m_targets, m_entries, m_prefixes, m_speeds, m_link, m_permitBackOffUntil };
    constexpr int maxTargetsTried = 4;
    for (int tried = 0; tried < maxTargetsTried; ++tried) {
        routing_choice choice = m_router.choose(request.spec, request.excluded, view, now);
        anyEligible = anyEligible || choice.anyEligible;
        if (!choice.plan || choice.plan->owner.empty())
            return false;
        request.plan = *choice.plan;
        request.plan.alone = m_suspects.suspicionOf(request.spec.fingerprint, now) == suspicion::suspect;
        permit_request permitRequest { m_options.entry, request.plan.target, request.plan.incarnation,
            request.plan.alone };
        if (request.plan.owner != m_options.entry) {
            requestClass.queue.start(request.spec.number);
            request.stage = request_stage::awaiting_permit;
            request.permitTarget = request.plan.target;
            m_targets.find(request.plan.target)->startedSinceReport += 1;
            out.push_back(acquire_permit_action { request.spec.number, request.plan.owner, permitRequest });
            return true;
        }
        permit_answer answer = m_ledger.acquire(permitRequest, now);
        if (answer.granted) {
            requestClass.queue.start(request.spec.number);
            m_targets.find(request.plan.target)->startedSinceReport += 1;
            startWithPermit(request, answer, now, out);
            return true;
        }
        m_permitBackOffUntil[request.plan.target] = now + answer.retryAfter;
    }
    return false;
}

void dispatcher::startWithPermit(
    pending_request& request, const permit_answer& answer, instant now, actions& out)
{
    request.plan.permit = answer.permit;
    request.plan.window = answer.limit;
    setRunning(request, true);
    auto& requestClass = m_classes[classOf(request.spec)];
    requestClass.predictor.onStarted(toWaiting(request.spec).cost, now);
    out.push_back(start_action { request.spec.number, request.plan });
}

void dispatcher::setRunning(pending_request& request, bool running)
{
    request.stage = running ? request_stage::running : request_stage::waiting;
    m_running += running ? 1 : -1;
    auto& ofCustomer = m_runningByCustomer[request.spec.customer];
    ofCustomer += running ? 1 : -1;
    if (ofCustomer == 0)
        m_runningByCustomer.erase(request.spec.customer);
    known_target* target = m_targets.find(request.plan.target);
    if (!target || target->report.incarnation != request.plan.incarnation)
        return;
    if (running)
        target->ownRunning += 1;
    else if (target->ownRunning > 0)
        target->ownRunning -= 1;
}

dispatcher::actions dispatcher::onPermitAnswer(
    request_number request, const std::string& owner, const permit_answer& answer, instant now)
{
    actions out;
    auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.stage != request_stage::awaiting_permit) {
        // The request was cancelled while the permit request was in progress.
        if (answer.granted)
            out.push_back(release_permit_action {
                owner, answer.permit, { attempt_outcome::cancelled, {}, {}, false } });
        return out;
    }
    pending_request& pending = found->second;
    if (answer.granted) {
        startWithPermit(pending, answer, now, out);
        return out;
    }
    m_permitBackOffUntil[pending.permitTarget] = now + answer.retryAfter;
    requeue(pending, now);
    dispatchWaiting(now, out);
    return out;
}

dispatcher::actions dispatcher::onOwnerUnreachable(request_number request, instant now)
{
    actions out;
    auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.stage != request_stage::awaiting_permit)
        return out;
    m_permitBackOffUntil[found->second.permitTarget] = now + ownerUnreachableBackOff;
    requeue(found->second, now);
    dispatchWaiting(now, out);
    return out;
}

void dispatcher::requeue(pending_request& request, instant now)
{
    request.stage = request_stage::waiting;
    known_target* target = m_targets.find(request.permitTarget);
    if (target && target->startedSinceReport > 0)
        target->startedSinceReport -= 1;
    auto& requestClass = m_classes[classOf(request.spec)];
    requestClass.queue.requeue(toWaiting(request.spec));
    requestClass.lastEligibleAt = now;
}

// ---------------------------------------------------------------- completion and retry

// Time to first token that a warm target needs for the tokens that it really had to prefill. Without the
// reported cache hits, an unexpected cache miss would look like a cold start.
milliseconds dispatcher::expectedFirstTokenOf(
    const pending_request& request, const attempt_report& report) const
{
    const request_spec& spec = request.spec;
    bool measured = report.outcome == attempt_outcome::succeeded && !spec.model.empty();
    if (!measured)
        return request.plan.expectedFirstToken;
    std::uint32_t uncached = spec.promptTokens - std::min(spec.promptTokens, report.cachedTokens);
    return std::max(request.plan.expectedFirstToken, m_speeds.firstToken(spec.model, uncached));
}

void dispatcher::release(const pending_request& request, const attempt_report& report, actions& out)
{
    attempt_measurement measure { report.outcome, report.firstToken, expectedFirstTokenOf(request, report),
        m_speeds.isKnown(request.spec.model) };
    if (request.plan.owner == m_options.entry)
        m_ledger.release(request.plan.permit, measure);
    else
        out.push_back(release_permit_action { request.plan.owner, request.plan.permit, measure });
    m_permitBackOffUntil.erase(request.plan.target);
}

void dispatcher::recordOutcome(
    const pending_request& request, const attempt_report& report, instant now, actions& out)
{
    const request_spec& spec = request.spec;
    known_target* target = m_targets.find(request.plan.target);
    if (target && target->report.incarnation != request.plan.incarnation)
        target = nullptr;
    switch (report.outcome) {
    case attempt_outcome::succeeded:
        m_suspects.onSuccess(spec.fingerprint);
        if (!spec.model.empty()) {
            std::uint32_t uncached = spec.promptTokens - std::min(spec.promptTokens, report.cachedTokens);
            m_classes[classOf(spec)].predictor.onFirstToken(report.firstToken);
            m_speeds.learn(spec.model, uncached, report.firstToken, report.duration, request.plan.window > 1);
            m_prefixes.add(request.plan.target, spec.chain);
        }
        break;
    case attempt_outcome::crashed:
        if (m_suspects.onCrash(spec.fingerprint, request.plan.alone, now) == suspicion::condemned) {
            for (const auto& suspect : m_suspects.list()) {
                if (suspect.fingerprint == spec.fingerprint)
                    out.push_back(condemn_action { suspect.fingerprint, suspect.crashes });
            }
        }
        m_prefixes.remove(request.plan.target);
        [[fallthrough]];
    case attempt_outcome::lost:
    case attempt_outcome::not_reached:
        if (target)
            target->avoidUntil = now + backOffAfterFailure;
        break;
    case attempt_outcome::refused:
        if (target)
            target->avoidUntil = now + backOffAfterRefusal;
        break;
    case attempt_outcome::cancelled:
        break;
    }
}

dispatcher::actions dispatcher::onFinished(request_number request, const attempt_report& report, instant now)
{
    actions out;
    auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.stage != request_stage::running)
        return out;
    setRunning(found->second, false);
    release(found->second, report, out);
    recordOutcome(found->second, report, now, out);
    m_requests.erase(found);
    dispatchWaiting(now, out);
    return out;
}

dispatcher::actions dispatcher::retry(const request_spec& next, const attempt_report& report, instant now)
{
    actions out;
    auto found = m_requests.find(next.number);
    if (found == m_requests.end() || found->second.stage != request_stage::running)
        return out;
    pending_request& pending = found->second;
    setRunning(pending, false);
    release(pending, report, out);
    recordOutcome(pending, report, now, out);
    run_state ran = runStateAfter(report.outcome);
    bool mayRetry = pending.spec.idempotent || ran == run_state::not_run;
    if (m_suspects.suspicionOf(next.fingerprint, now) == suspicion::condemned) {
        reject(next.number,
            makeError(error_kind::crashes_targets, run_state::ran,
                "this request has crashed the targets that ran it: change it, or ask an operator to withdraw "
                "the verdict"),
            out);
    } else if (!mayRetry) {
        reject(next.number,
            makeError(error_kind::outcome_unknown, run_state::unknown,
                "the target was lost while it ran the request: find out what was done before sending it "
                "under a new key"),
            out);
    } else if (now >= next.deadline || !m_retries.tryTake()) {
        reject(next.number,
            makeError(error_kind::target_failed, ran,
                "the target failed and no time or budget is left: come back later", retryAfterNoTarget),
            out);
    } else {
        pending.excluded.insert(pending.plan.target);
        pending.spec = next;
        pending.retried = pending.retried || ran != run_state::not_run;
        pending.stage = request_stage::waiting;
        auto& requestClass = m_classes[classOf(next)];
        enqueue(next, requestClass, now);
        requestClass.lastEligibleAt = now;
    }
    dispatchWaiting(now, out);
    return out;
}

} // namespace plumfold::core

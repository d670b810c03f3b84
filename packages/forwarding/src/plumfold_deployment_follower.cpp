#include "plumfold_deployment_follower.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/wire/plumfold_convert.hpp"
#include "plumfold/wire/plumfold_entry_session.hpp"

#include <algorithm>
#include <utility>

namespace plumfold::forwarding {

namespace {

constexpr std::chrono::milliseconds connectTimeout { 250 };
constexpr std::uint32_t longPollWaitMs = 150;
/// A control VM that sends nothing for this time is replaced by the next one. Changes must take effect within
/// two seconds, even when two control VMs have just become unresponsive.
constexpr std::chrono::milliseconds pollTimeout { 900 };
constexpr std::chrono::milliseconds firstPollTimeout { 400 }; // for the first poll of a connection
/// Until an update is confirmed, a response requires a round trip to a quorum.
constexpr std::chrono::milliseconds quorumConfirmTimeout { 2'000 };
constexpr auto reconnectDelay = 100 * kj::MILLISECONDS;
constexpr auto cutOffPollDelay = 20 * kj::MILLISECONDS; // it answers polls at once
constexpr std::size_t maxOwnDemands = 1'000; // any are dropped beyond

std::vector<std::string> controlAddresses(const runtime::settings& settings)
{
    std::vector<std::string> addresses;
    for (const auto& each : settings.forwarding->control)
        addresses.push_back(runtime::withPort(each, settings.forwarding->controlPort));
    return addresses;
}

} // namespace

deployment_follower::deployment_follower(wire::rpc_thread& rpc, const runtime::settings& settings,
    listener onUpdate, deployment_transfer::listener onDeployment, confirmation_listener onConfirmed)
    : m_rpc(rpc)
    , m_settings(settings)
    , m_onUpdate(std::move(onUpdate))
    , m_onConfirmed(std::move(onConfirmed))
    , m_seeds(controlAddresses(settings))
{
    m_failures = static_cast<unsigned>(runtime::randomNumber() % m_seeds.size());
    m_rpc.run([this, &onDeployment] {
        m_transfer = std::make_unique<deployment_transfer>(std::move(onDeployment));
        m_tasks = kj::heap<wire::task_group>();
        m_tasks->add(followLoop());
    });
}

deployment_follower::~deployment_follower()
{
    m_rpc.run([this] {
        m_tasks = nullptr;
        m_transfer.reset();
        m_session = nullptr;
        m_connection = nullptr;
    });
}

void deployment_follower::setSeeds(std::vector<std::string> addresses)
{
    m_rpc.post([this, addresses = std::move(addresses)] {
        m_seeds.clear();
        for (const auto& each : addresses)
            m_seeds.push_back(runtime::withPort(each, m_settings.forwarding->controlPort));
    });
}

kj::Promise<void> deployment_follower::followLoop()
{
    return connect()
        .then([this] { return followOnce(); })
        .catch_([this](kj::Exception&& exception) -> kj::Promise<void> {
            onFailure(exception);
            return m_rpc.timer().afterDelay(reconnectDelay);
        })
        .then([this] { return followLoop(); });
}

std::string deployment_follower::nextAddress()
{
    if (m_prefersLocal) {
        m_prefersLocal = false;
        for (const auto& [address, domain] : m_controlDomains) {
            if (domain == m_settings.process.failureDomain)
                return address;
        }
    }
    std::vector<std::string> all = m_seeds;
    for (const auto& [address, domain] : m_controlDomains) {
        if (std::find(all.begin(), all.end(), address) == all.end())
            all.push_back(address);
    }
    return all[m_failures % all.size()];
}

kj::Promise<void> deployment_follower::connect()
{
    if (m_session != nullptr)
        return kj::READY_NOW;
    m_address = nextAddress();
    return wire::rpc_connection::connect(m_rpc, m_address, connectTimeout)
        .then([this](kj::Own<wire::rpc_connection> connection) {
            m_session = wire::openEntrySession(*connection,
                { m_settings.process.clusterSecret, m_settings.process.name,
                    m_settings.process.failureDomain });
            m_connection = kj::mv(connection);
            m_justConnected = true;
        });
}

kj::Promise<void> deployment_follower::followOnce()
{
    m_calledAt = runtime::nowWithSuspension();
    auto request = KJ_ASSERT_NONNULL(m_session).followRequest();
    request.setKnownDeployment(m_transfer->knownRevision());
    request.setAcceptsOutline(true);
    request.setFeed(m_feedId);
    request.setKnownChange(m_knownChange);
    request.setKnownVerdicts(m_knownVerdicts);
    request.setKnownSuspects(m_knownSuspects);
    request.setRelayAddress(m_settings.forwarding->relayAddress);
    request.setKnownHelpers(m_knownHelpers);
    request.setKnownDemands(m_knownDemand);
    request.setUsesPlaces(m_settings.forwarding->targetPlaces);
    writeDemands(request);
    writeRollouts(request);
    request.setWaitMs(m_justConnected ? 0 : longPollWaitMs);
    auto timeout = !m_confirmed ? quorumConfirmTimeout : m_justConnected ? firstPollTimeout : pollTimeout;
    request.setConfirmed(!m_confirmed);
    auto cursors = request.initParts(m_parts.size());
    unsigned index = 0;
    for (const auto& [holder, cursor] : m_parts)
        wire::write(cursors[index++], cursor);
    return wire::withSilenceTimeout(m_rpc, *m_connection, request.send().dropPipeline(), timeout)
        .then([this](auto&& response) {
            bool isFresh = response.getFresh();
            applyFollowResponse(kj::mv(response));
            return continueTransfer(isFresh);
        });
}

void deployment_follower::reportDemand(core::target_demand demand)
{
    m_rpc.post([this, demand = std::move(demand)] {
        if (m_ownDemands.size() >= maxOwnDemands)
            m_ownDemands.erase(m_ownDemands.begin());
        m_ownDemands[demand.target] = demand;
        m_unreportedDemands.insert(demand.target);
    });
}

void deployment_follower::writeDemands(wire::EntrySession::FollowParams::Builder request)
{
    m_sentDemands = std::move(m_unreportedDemands);
    m_unreportedDemands.clear();
    std::erase_if(m_sentDemands, [&](const auto& target) { return !m_ownDemands.contains(target); });
    auto out = request.initDemands(m_sentDemands.size());
    unsigned index = 0;
    for (const auto& target : m_sentDemands)
        wire::write(out[index++], m_ownDemands.at(target));
}

void deployment_follower::reportRollouts(std::vector<core::rollout_report> reports)
{
    m_rpc.post([this, reports = std::move(reports)] {
        m_rolloutReports = reports;
        m_areRolloutsReported = false;
    });
}

void deployment_follower::writeRollouts(wire::EntrySession::FollowParams::Builder request)
{
    if (std::exchange(m_areRolloutsReported, true))
        return;
    auto out = request.initRollouts(m_rolloutReports.size());
    for (unsigned index = 0; index < m_rolloutReports.size(); ++index)
        wire::write(out[index], m_rolloutReports[index]);
}

void deployment_follower::applyFollowResponse(capnp::Response<wire::EntrySession::FollowResults> response)
{
    bool fresh = response.getFresh();
    m_justConnected = false;
    control_update update;
    update.isSnapshot = response.getEverything();
    update.entries = response.getEntries();
    update.position = { response.getDomainEntryIndex(), response.getDomainEntries() };
    update.sharedLimitIssuer = response.getSharedLimits().cStr();
    for (auto each : response.getTargets())
        update.targets.push_back(wire::read(each));
    update.targetClockMs = response.getClock();
    for (auto each : response.getLoads())
        update.loads.push_back(wire::read(each));
    // The ages are those at the arrival of the call, which was not earlier than the call was made.
    auto sinceCall = std::chrono::ceil<core::milliseconds>(runtime::nowWithSuspension() - m_calledAt);
    update.weightNamings = wire::readEventAges(response.getNamings());
    for (auto& each : update.weightNamings)
        each.age += sinceCall;
    update.returns = wire::readEventAges(response.getReturns());
    for (auto each : response.getVerdicts())
        update.verdicts.push_back(wire::read(each));
    m_knownVerdicts = response.getVerdictsDigest();
    if (response.getSuspectsDigest() != m_knownSuspects) {
        m_knownSuspects = response.getSuspectsDigest();
        update.suspects.emplace();
        for (auto each : response.getSuspects())
            update.suspects->push_back(wire::read(each));
    }
    if (response.getHelpersDigest() != m_knownHelpers) {
        m_knownHelpers = response.getHelpersDigest();
        update.helpers.emplace();
        for (auto each : response.getHelpers())
            update.helpers->push_back(wire::read(each));
    }
    for (auto each : response.getParts()) {
        update.parts.push_back(wire::read(each));
        const auto& received = update.parts.back();
        m_parts[received.holder] = { received.holder, received.generation, received.count };
        if (received.generation == 0)
            m_parts.erase(received.holder);
    }
    for (auto each : response.getDemands())
        update.demands.push_back(wire::read(each));
    for (auto each : response.getLimitIssuers())
        update.limitIssuers[each.getFailureDomain().cStr()] = each.getAddress().cStr();
    m_knownDemand = response.getLatestDemand();
    m_sentDemands.clear();
    bool isNewFeed = m_feedId != response.getFeed();
    if (isNewFeed) {
        for (const auto& [target, demand] : m_ownDemands)
            m_unreportedDemands.insert(target);
    }
    m_feedId = response.getFeed();
    m_knownChange = response.getChange();
    applyControlAddresses(response.getControl());
    update.control = m_controlDomains;
    if (isNewFeed)
        runtime::log_event("control_followed")
            .with("address", m_address)
            .with("deployment", m_transfer->knownRevision())
            .with("fresh", fresh ? "true" : "false")
            .with("targets", update.targets.size());
    m_confirmed = m_confirmed || fresh;
    m_onUpdate(std::move(update));
    if (response.hasOutline())
        m_transfer->applyOutline(
            wire::read(response.getOutline().getState()), wire::readOutline(response.getOutline()));
    else if (response.hasDeployment())
        m_transfer->applyWhole(wire::read(response.getDeployment()));
    if (fresh)
        m_onConfirmed(m_calledAt);
}

/// Goes on with the transfer of a document, or to a control VM that is better suited.
kj::Promise<void> deployment_follower::continueTransfer(bool isFresh)
{
    // A control VM that is cut off from the quorum is left once it has sent the document that it has.
    KJ_REQUIRE(isFresh || m_transfer->hasProgressed(), "the control VM is cut off from the quorum");
    if (m_prefersLocal && isFresh) {
        closeConnection();
        return kj::READY_NOW;
    }
    m_transfer->requestPieces(KJ_ASSERT_NONNULL(m_session));
    return isFresh ? kj::Promise<void>(kj::READY_NOW) : m_rpc.timer().afterDelay(cutOffPollDelay);
}

void deployment_follower::closeConnection()
{
    m_transfer->onConnectionLost();
    m_session = nullptr;
    // The connection must not be destroyed inside one of its own callbacks.
    m_tasks->add(kj::evalLater([old = kj::mv(m_connection)] {}));
}

void deployment_follower::applyControlAddresses(capnp::List<wire::ControlAddress>::Reader control)
{
    std::map<std::string, std::string> received;
    for (auto each : control)
        received[each.getAddress().cStr()] = each.getFailureDomain().cStr();
    bool isLocal = received.contains(m_address) && received[m_address] == m_settings.process.failureDomain;
    bool isNew = received != m_controlDomains;
    bool isLocalKnown = std::any_of(received.begin(), received.end(),
        [&](const auto& each) { return each.second == m_settings.process.failureDomain; });
    m_prefersLocal = isNew && !isLocal && isLocalKnown;
    m_controlDomains = std::move(received);
}

void deployment_follower::onFailure(const kj::Exception& exception)
{
    runtime::log_event("control_lost", runtime::log_level::warning)
        .with("address", m_address)
        .with("reason", exception.getDescription().cStr())
        .with("first_poll", m_justConnected ? "true" : "false")
        .with("received_bytes", m_connection.get() == nullptr ? 0 : m_connection->received()->count)
        .with("known_deployment", m_transfer->knownRevision());
    ++m_failures;
    m_unreportedDemands.merge(m_sentDemands);
    m_areRolloutsReported = m_rolloutReports.empty();
    closeConnection();
}

} // namespace plumfold::forwarding

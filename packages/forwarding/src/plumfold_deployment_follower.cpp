#include "plumfold_deployment_follower.hpp"

#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <algorithm>

namespace plumfold::forwarding {

namespace {

constexpr std::chrono::milliseconds connectTimeout { 250 };
constexpr std::uint32_t waitMs = 150;
/// A control VM that does not answer in time is left: a change must be in force within two seconds even when
/// two of them have just fallen silent.
constexpr std::chrono::milliseconds answerTimeout { 900 };
constexpr std::chrono::milliseconds firstAnswerTimeout { 400 };
/// The first answer of all waits for a quorum.
constexpr std::chrono::milliseconds confirmedTimeout { 2'000 };
constexpr auto retryPause = 100 * kj::MILLISECONDS;

std::vector<std::string> callAddresses(const runtime::settings& settings)
{
    std::vector<std::string> addresses;
    for (const auto& each : settings.forwarding->control)
        addresses.push_back(runtime::withPort(each, settings.forwarding->controlPort));
    return addresses;
}

} // namespace

deployment_follower::deployment_follower(
    wire::rpc_thread& rpc, const runtime::settings& settings, listener onNews)
    : m_rpc(rpc)
    , m_settings(settings)
    , m_onNews(std::move(onNews))
    , m_seeds(callAddresses(settings))
{
    m_failures = static_cast<unsigned>(runtime::randomNumber() % m_seeds.size());
    m_rpc.run([this] {
        m_tasks = kj::heap<wire::task_group>();
        m_tasks->add(loop());
    });
}

deployment_follower::~deployment_follower()
{
    m_rpc.run([this] {
        m_tasks = nullptr;
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

kj::Promise<void> deployment_follower::loop()
{
    return connect()
        .then([this] { return followOnce(); })
        .catch_([this](kj::Exception&& exception) -> kj::Promise<void> {
            onFailure(exception);
            return m_rpc.timer().afterDelay(retryPause);
        })
        .then([this] { return loop(); });
}

std::string deployment_follower::nextAddress()
{
    if (m_wantsNear) {
        m_wantsNear = false;
        for (const auto& [address, domain] : m_control) {
            if (domain == m_settings.process.failureDomain)
                return address;
        }
    }
    std::vector<std::string> all = m_seeds;
    for (const auto& [address, domain] : m_control) {
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
            auto request = connection->bootstrap<wire::Control>().entryRequest();
            request.setSecret(m_settings.process.clusterSecret);
            request.setName(m_settings.process.name);
            request.setFailureDomain(m_settings.process.failureDomain);
            m_session = request.send().getSession();
            m_connection = kj::mv(connection);
            m_justConnected = true;
        });
}

kj::Promise<void> deployment_follower::followOnce()
{
    auto request = KJ_ASSERT_NONNULL(m_session).followRequest();
    request.setKnownDeployment(m_knownDeployment);
    request.setFeed(m_feed);
    request.setKnownChange(m_knownChange);
    request.setWaitMs(m_justConnected ? 0 : waitMs);
    auto timeout = !m_confirmed ? confirmedTimeout : m_justConnected ? firstAnswerTimeout : answerTimeout;
    request.setConfirmed(!m_confirmed);
    auto cursors = request.initParts(m_parts.size());
    unsigned index = 0;
    for (const auto& [holder, cursor] : m_parts)
        wire::write(cursors[index++], cursor);
    return wire::withTimeout(m_rpc, request.send().dropPipeline(), timeout).then([this](auto&& response) {
        take(kj::mv(response));
    });
}

void deployment_follower::take(capnp::Response<wire::EntrySession::FollowResults> response)
{
    bool fresh = response.getFresh();
    m_justConnected = false;
    follow_news news;
    news.everything = response.getEverything();
    news.entries = response.getEntries();
    for (auto each : response.getTargets())
        news.targets.push_back(wire::read(each));
    news.targetClock = response.getClock();
    for (auto each : response.getLoads())
        news.loads.push_back(wire::read(each));
    for (auto each : response.getParts()) {
        news.parts.push_back(wire::read(each));
        const auto& told = news.parts.back();
        m_parts[told.holder] = { told.holder, told.generation, told.count };
        if (told.generation == 0)
            m_parts.erase(told.holder);
    }
    // An older revision comes from a control VM that lags; what is in force never goes back.
    if (response.hasDeployment() && response.getDeployment().getRevision() > m_knownDeployment) {
        news.deployment = wire::read(response.getDeployment());
        m_knownDeployment = news.deployment->revision;
    }
    bool isFirst = m_feed != response.getFeed();
    m_feed = response.getFeed();
    m_knownChange = response.getChange();
    takeControl(response.getControl());
    if (isFirst)
        runtime::log_event("control_followed")
            .with("address", m_address)
            .with("deployment", m_knownDeployment)
            .with("fresh", fresh ? "true" : "false")
            .with("targets", news.targets.size());
    m_confirmed = m_confirmed || fresh;
    m_onNews(std::move(news));
    KJ_REQUIRE(fresh, "the control VM is cut off from the quorum");
    if (m_wantsNear) {
        m_session = nullptr;
        m_tasks->add(kj::evalLater([old = kj::mv(m_connection)] {}));
    }
}

void deployment_follower::takeControl(capnp::List<wire::ControlAddress>::Reader control)
{
    std::map<std::string, std::string> told;
    for (auto each : control)
        told[each.getAddress().cStr()] = each.getFailureDomain().cStr();
    bool isNear = told.contains(m_address) && told[m_address] == m_settings.process.failureDomain;
    bool isNew = told != m_control;
    bool nearKnown = std::any_of(told.begin(), told.end(),
        [&](const auto& each) { return each.second == m_settings.process.failureDomain; });
    m_wantsNear = isNew && !isNear && nearKnown;
    m_control = std::move(told);
}

void deployment_follower::onFailure(const kj::Exception& exception)
{
    runtime::log_event("control_lost", runtime::log_level::warning)
        .with("address", m_address)
        .with("reason", exception.getDescription().cStr());
    ++m_failures;
    m_session = nullptr;
    // The connection must not be destroyed inside one of its own callbacks.
    m_tasks->add(kj::evalLater([old = kj::mv(m_connection)] {}));
}

} // namespace plumfold::forwarding

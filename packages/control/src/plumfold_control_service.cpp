#include "plumfold_control_service.hpp"

#include "plumfold_kj_completion.hpp"
#include "plumfold_wire_lists.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <algorithm>
#include <set>

namespace plumfold::control {

namespace {

constexpr std::uint32_t maxWatchMs = 10'000;
constexpr auto confirmTimeout = 1500 * kj::MILLISECONDS;
constexpr core::milliseconds entryMaxAge { 60'000 };

void writeReply(wire::Reply::Builder out, const propose_response& response)
{
    out.setAccepted(response.accepted);
    out.setLeaderAddress(response.leaderAddress);
    out.setMessage(response.message);
    out.setLogIndex(response.logIndex);
}

void requireSecret(const service_context& context, capnp::Text::Reader secret)
{
    KJ_REQUIRE(runtime::secretsMatch(context.settings.process.clusterSecret, secret.cStr()),
        "the cluster secret is wrong: give all processes the same clusterSecret");
}

class peer_server final : public wire::ControlPeer::Server {
public:
    explicit peer_server(service_context& context)
        : m_context(context)
    {
    }

    kj::Promise<void> deliver(DeliverContext call) override
    {
        m_context.node.post(peer_message_event { wire::read(call.getParams().getMessage()) });
        return kj::READY_NOW;
    }

    kj::Promise<void> share(ShareContext call) override
    {
        auto params = call.getParams();
        control_peer_state state { params.getFailureDomain().cStr(), params.getEntries(), {}, {} };
        std::string from = params.getAddress().cStr();
        m_context.feed.applyPeerUpdate(
            from, std::move(state), readList<core::target_announcement>(params.getTargets()));
        if (params.getHasFollowers())
            m_context.feed.applyPeerFollowers(from, readList<core::entry_address>(params.getFollowers()));
        auto unknown = m_context.feed.applyPeerParts(
            from, readList<core::part_update>(params.getParts()), params.getClock());
        // Also sets an empty list: it tells the sender that this control VM reports what it lacks.
        auto outUnknown = call.getResults().initUnknownParts(unknown.size());
        for (unsigned index = 0; index < unknown.size(); ++index)
            outUnknown.set(index, unknown[index]);
        m_context.feed.updateLoads(readList<core::target_load>(params.getLoads()), false);
        auto namings = wire::readEventAges(params.getNamings());
        m_context.rollouts.addAges(namings);
        std::erase_if(namings, [](const auto& each) { return rollout_controller::isSubject(each.subject); });
        m_context.feed.applyPeerEvents(namings, wire::readEventAges(params.getReturns()));
        m_context.rollouts.addReports(readList<core::rollout_report>(params.getRollouts()), false);
        m_context.feed.applyDemands(readList<core::target_demand>(params.getDemands()));
        m_context.crashes.addEvidence(from,
            { readList<core::crash_report>(params.getCrashes()),
                readList<core::recorded_success>(params.getSuccesses()) });
        return kj::READY_NOW;
    }

private:
    service_context& m_context;
};

class entry_server final : public wire::EntrySession::Server {
public:
    entry_server(service_context& context, std::string name, std::string failureDomain)
        : m_context(context)
        , m_name(std::move(name))
        , m_failureDomain(std::move(failureDomain))
    {
    }

    kj::Promise<void> watch(WatchContext call) override
    {
        auto params = call.getParams();
        m_context.entries[m_name] = { m_failureDomain, params.getKnownRevision(), runtime::now() };
        watch_event event;
        event.knownRevision = params.getKnownRevision();
        event.knownDigest = params.getKnownDigest();
        event.deadline = runtime::now() + core::milliseconds(std::min(params.getWaitMs(), maxWatchMs));
        if (!params.getLinearizable())
            return respondToWatch(call, std::move(event));
        // A committed barrier shows that this node was the leader after the call arrived, so its state
        // includes every change committed before the call.
        return postEvent<propose_response>(
            m_context.node, propose_event { core::command { 0, core::barrier_command {} }, {} })
            .then([this, call, event = std::move(event)](
                      propose_response barrier) mutable -> kj::Promise<void> {
                KJ_REQUIRE(
                    barrier.accepted, "this control VM cannot answer for the quorum", barrier.leaderAddress);
                return respondToWatch(call, std::move(event));
            });
    }

    kj::Promise<void> submit(SubmitContext call) override
    {
        propose_event event { wire::read(call.getParams().getCommand()), {} };
        KJ_REQUIRE(!std::holds_alternative<core::change_command>(event.command.payload),
            "entries may not change the configuration");
        return postEvent<propose_response>(m_context.node, std::move(event))
            .then([call](propose_response response) mutable {
                auto results = call.getResults();
                writeReply(results.initReply(), response);
                wire::write(results.initResult(), response.result);
            });
    }

    kj::Promise<void> follow(FollowContext call) override
    {
        auto params = call.getParams();
        m_context.feed.recordFollower({ m_name, params.getRelayAddress().cStr(), m_failureDomain });
        m_context.feed.applyDemands(readList<core::target_demand>(params.getDemands()));
        auto reports = readList<core::rollout_report>(params.getRollouts());
        for (auto& each : reports)
            each.entry = m_name;
        m_context.rollouts.addReports(reports, true);
        auto arrivedAt = runtime::nowWithSuspension();
        kj::Promise<void> ready = kj::READY_NOW;
        if (params.getConfirmed())
            ready = m_context.leader.confirm(confirmTimeout);
        return ready.then([this, call, arrivedAt]() mutable {
            auto params = call.getParams();
            // Change numbers restart with each incarnation of a feed, so an unknown one gets a snapshot.
            bool isKnownFeed = params.getFeed() == m_context.feed.id();
            std::uint64_t change = isKnownFeed ? params.getKnownChange() : 0;
            std::uint64_t demand = isKnownFeed ? params.getKnownDemands() : 0;
            auto wait = std::min(params.getWaitMs(), maxWatchMs) * kj::MILLISECONDS;
            return m_context.feed
                .waitForUpdate(params.getKnownDeployment(), change, params.getKnownVerdicts(), demand, wait)
                .then([this, call, change, demand, arrivedAt]() mutable {
                    writeFollowResults(call, change);
                    writeEvents(call, arrivedAt);
                    writeDemands(call, demand);
                });
        });
    }

    kj::Promise<void> readPieces(ReadPiecesContext call) override
    {
        std::vector<const std::string*> found;
        for (auto digest : call.getParams().getDigests()) {
            if (const auto* piece = m_context.feed.document().find(digest))
                found.push_back(piece);
        }
        auto out = call.getResults().initPieces(found.size());
        for (unsigned index = 0; index < found.size(); ++index)
            out.set(index, kj::arrayPtr(found[index]->data(), found[index]->size()).asBytes());
        return kj::READY_NOW;
    }

    kj::Promise<void> startCold(StartColdContext call) override
    {
        auto params = call.getParams();
        auto decision = m_context.sharedLimits.tryStart(
            m_failureDomain, params.getService().cStr(), params.getTarget().cStr());
        call.getResults().setGranted(decision.isGranted);
        call.getResults().setRetryAfterMs(static_cast<std::uint32_t>(decision.retryAfter.count()));
        return kj::READY_NOW;
    }

    kj::Promise<void> startLimited(StartLimitedContext call) override
    {
        auto params = call.getParams();
        auto decision = m_context.sharedLimits.tryLimitedStart(
            params.getFailureDomain().cStr(), wire::read(params.getDemand()));
        auto out = call.getResults();
        out.setDecided(decision.has_value());
        if (decision) {
            out.setGranted(decision->isGranted);
            out.setRetryAfterMs(static_cast<std::uint32_t>(decision->retryAfter.count()));
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> acquirePlace(AcquirePlaceContext call) override
    {
        // Otherwise, a request that its entry has dropped waits until its time ends, and may get a place.
        call.allowCancellation();
        auto params = call.getParams();
        return m_context.places.acquire(m_name, params.getFailureDomain().cStr(),
            wire::read(params.getRequest()), [call](const auto& decision) mutable {
                auto out = call.getResults();
                out.setDecided(decision.has_value());
                if (decision)
                    wire::write(out.initDecision(), *decision);
            });
    }

    kj::Promise<void> updatePlaces(UpdatePlacesContext call) override
    {
        auto params = call.getParams();
        call.getResults().setDecided(
            m_context.places.update(params.getFailureDomain().cStr(), params.getService().cStr(),
                readList<core::held_place>(params.getHeld()), readList<core::place_end>(params.getEnded())));
        return kj::READY_NOW;
    }

    kj::Promise<void> retry(RetryContext call) override
    {
        call.getResults().setGranted(
            m_context.sharedLimits.tryRetry(m_failureDomain, call.getParams().getService().cStr()));
        return kj::READY_NOW;
    }

    kj::Promise<void> recordStreams(RecordStreamsContext call) override
    {
        m_context.streams.record(readList<core::stream_record>(call.getParams().getStreams()));
        return kj::READY_NOW;
    }

    kj::Promise<void> findStream(FindStreamContext call) override
    {
        auto stream = call.getParams().getStream();
        auto origin = m_context.streams.find(stream);
        auto out = call.getResults();
        out.setFound(origin.has_value());
        if (origin)
            wire::write(out.initRecord(), core::stream_record { stream, *origin, {} });
        auto versions = m_context.versions.versionsOf(call.getParams().getService().cStr());
        writeTextList(out.initSoftwareVersions(versions.size()), versions);
        std::set<std::string> members;
        for (const auto& member : m_context.feed.view().members.members)
            members.insert(member.address);
        writeTextList(out.initMembers(members.size()), members);
        return kj::READY_NOW;
    }

    kj::Promise<void> reportCrashes(ReportCrashesContext call) override
    {
        auto params = call.getParams();
        for (auto each : params.getCrashes())
            m_context.crashes.addReport(m_name, wire::read(each));
        for (auto each : params.getSuccesses())
            m_context.crashes.addSuccess(wire::read(each));
        for (auto verdict : params.getRejected())
            m_context.crashes.onRejected(verdict);
        return kj::READY_NOW;
    }

private:
    static void writeTextList(capnp::List<capnp::Text>::Builder out, const std::set<std::string>& values)
    {
        unsigned index = 0;
        for (const auto& value : values)
            out.set(index++, value);
    }

    void writeFollowResults(FollowContext& call, std::uint64_t change)
    {
        const auto& feed = m_context.feed;
        auto out = call.getResults();
        out.setFresh(feed.view().isCaughtUp);
        out.setFeed(feed.id());
        out.setChange(feed.directory().latestChange());
        out.setEverything(change == 0);
        out.setEntries(feed.entryCount());
        out.setSharedLimits(feed.sharedLimitIssuerOf(m_failureDomain));
        const auto& deployment = *feed.view().deployment;
        if (deployment.revision > call.getParams().getKnownDeployment()) {
            // Entries of former versions get the document as a whole.
            if (call.getParams().getAcceptsOutline())
                wire::write(out.initOutline(), deployment, feed.document().outline());
            else
                wire::write(out.initDeployment(), deployment);
        }
        auto changed = feed.directory().changedAfter(change);
        auto targets = out.initTargets(changed.size());
        for (unsigned index = 0; index < changed.size(); ++index)
            writeTarget(targets[index], changed[index]);
        writeParts(call);
        writeVerdicts(call);
        writeHelpers(call);
        auto domains = feed.controlDomains();
        auto control = out.initControl(domains.size());
        unsigned index = 0;
        for (const auto& [address, domain] : domains) {
            control[index].setAddress(address);
            control[index++].setFailureDomain(domain);
        }
    }

    void writeHelpers(FollowContext& call)
    {
        auto helpers = m_context.feed.helpersOf(m_name, m_failureDomain);
        auto digest = core::digestOf(helpers);
        call.getResults().setHelpersDigest(digest);
        if (digest == call.getParams().getKnownHelpers())
            return;
        writeList(call.getResults().initHelpers(helpers.size()), helpers);
    }

    void writeDemands(FollowContext& call, std::uint64_t known)
    {
        const auto& demands = m_context.feed.demands();
        auto out = call.getResults();
        out.setLatestDemand(demands.latestChange());
        auto changed = demands.changedAfter(known);
        writeList(out.initDemands(changed.size()), changed);
        if (demands.limitedTargets() == 0 && !call.getParams().getUsesPlaces())
            return;
        auto domains = m_context.sharedLimits.failureDomains();
        auto issuers = out.initLimitIssuers(domains.size());
        for (unsigned index = 0; index < domains.size(); ++index) {
            issuers[index].setAddress(m_context.feed.sharedLimitIssuerOf(domains[index]));
            issuers[index].setFailureDomain(domains[index]);
        }
    }

    void writeEvents(FollowContext& call, core::instant arrivedAt)
    {
        auto namings = m_context.feed.weightNamings(arrivedAt);
        wire::write(call.getResults().initNamings(namings.size()), namings);
        auto returns = m_context.feed.returns(runtime::nowWithSuspension());
        wire::write(call.getResults().initReturns(returns.size()), returns);
    }

    void writeParts(FollowContext& call)
    {
        const auto& parts = m_context.feed.parts();
        std::map<std::string, core::part_cursor> known;
        for (auto each : call.getParams().getParts()) {
            auto cursor = wire::read(each);
            known[cursor.holder] = cursor;
        }
        for (const auto& [holder, content] : parts.holders())
            known.emplace(holder, core::part_cursor { holder, 0, 0 });
        auto out = call.getResults().initParts(known.size());
        unsigned index = 0;
        for (const auto& [holder, cursor] : known)
            wire::write(out[index++], parts.updateAfter(cursor, runtime::now()));
        call.getResults().setClock(m_context.feed.targetClock());
        auto loads = m_context.feed.loads(false);
        auto outLoads = call.getResults().initLoads(loads.size());
        for (unsigned at = 0; at < loads.size(); ++at)
            wire::write(outLoads[at], loads[at]);
    }

    void writeVerdicts(FollowContext& call)
    {
        const auto& feed = m_context.feed;
        auto out = call.getResults();
        out.setVerdictsDigest(feed.verdictsDigest());
        if (feed.verdictsDigest() != call.getParams().getKnownVerdicts()) {
            auto verdicts = feed.crashVerdicts();
            auto outVerdicts = out.initVerdicts(verdicts.size());
            for (unsigned index = 0; index < verdicts.size(); ++index)
                wire::write(outVerdicts[index], verdicts[index]);
        }
        out.setSuspectsDigest(feed.suspectsDigest());
        if (feed.suspectsDigest() == call.getParams().getKnownSuspects())
            return;
        const auto& suspects = feed.crashSuspects();
        auto outSuspects = out.initSuspects(suspects.size());
        for (unsigned index = 0; index < suspects.size(); ++index)
            wire::write(outSuspects[index], suspects[index]);
    }

    static void writeTarget(wire::AnnouncedTarget::Builder out, const core::target_directory::entry& entry)
    {
        wire::write(out, entry.announcementAt(runtime::now()));
    }

    kj::Promise<void> respondToWatch(WatchContext call, watch_event event)
    {
        return postEvent<watch_response>(m_context.node, std::move(event))
            .then([call](watch_response response) mutable {
                auto results = call.getResults();
                wire::write(results.initUpdate(), response.update);
                results.setFresh(response.isCaughtUp);
                auto verdicts = results.initVerdicts(response.verdicts.size());
                for (unsigned index = 0; index < response.verdicts.size(); ++index)
                    wire::write(verdicts[index], response.verdicts[index]);
            });
    }

    service_context& m_context;
    std::string m_name;
    std::string m_failureDomain;
};

class operator_server final : public wire::Operator::Server {
public:
    operator_server(service_context& context, runtime::operator_setting setting)
        : m_context(context)
        , m_operator(std::move(setting))
    {
    }

    kj::Promise<void> form(FormContext call) override
    {
        requireChange();
        return postEvent<propose_response>(m_context.node, bootstrap_event {})
            .then([call](propose_response response) mutable {
                writeReply(call.getResults().initReply(), response);
            });
    }

    kj::Promise<void> change(ChangeContext call) override
    {
        requireChange();
        auto params = call.getParams();
        core::change_command change;
        change.operatorName = m_operator.name;
        change.requestId = params.getRequestId().cStr();
        change.expectedRevision = params.getExpectedRevision();
        change.requestedChange = wire::read(params.getChange());
        KJ_REQUIRE(!change.requestId.empty(), "the request id is empty: give each change its own");
        return propose(std::move(change)).then([call](propose_response response) mutable {
            auto results = call.getResults();
            writeReply(results.initReply(), response);
            if (const auto* result = std::get_if<core::change_result>(&response.result))
                wire::write(results.initResult(), *result);
        });
    }

    kj::Promise<void> read(ReadContext call) override
    {
        bool linearizable = call.getParams().getLinearizable();
        kj::Promise<propose_response> ready = propose_response { true, {}, {}, {} };
        if (linearizable)
            ready = propose(core::barrier_command {});
        return ready.then([this, call](propose_response response) mutable -> kj::Promise<void> {
            writeReply(call.getResults().initReply(), response);
            if (!response.accepted)
                return kj::READY_NOW;
            // A revision that cannot exist requests the whole configuration.
            watch_event event;
            event.knownRevision = UINT64_MAX;
            return postEvent<watch_response>(m_context.node, std::move(event))
                .then([call](watch_response response) mutable {
                    wire::write(call.getResults().initUpdate(), response.update);
                });
        });
    }

    kj::Promise<void> status(StatusContext call) override
    {
        return postEvent<status_response>(m_context.node, status_event {})
            .then([this, call](status_response response) mutable {
                writeStatus(call.getResults().initStatus(), response);
            });
    }

    kj::Promise<void> usage(UsageContext call) override
    {
        return propose(core::barrier_command {})
            .then([this, call](propose_response response) mutable -> kj::Promise<void> {
                writeReply(call.getResults().initReply(), response);
                if (!response.accepted)
                    return kj::READY_NOW;
                return postEvent<status_response>(m_context.node, status_event {})
                    .then([call](status_response status) mutable {
                        auto rows = call.getResults().initRows(status.usage.size());
                        for (unsigned index = 0; index < status.usage.size(); ++index)
                            wire::write(rows[index], status.usage[index]);
                    });
            });
    }

    kj::Promise<void> withdrawVerdict(WithdrawVerdictContext call) override
    {
        requireChange();
        return propose(core::verdict_command { call.getParams().getFingerprint(), 0, true })
            .then([call](propose_response response) mutable {
                writeReply(call.getResults().initReply(), response);
            });
    }

    kj::Promise<void> audit(AuditContext call) override
    {
        return postEvent<status_response>(m_context.node, status_event {})
            .then([call](status_response response) mutable {
                auto records = call.getResults().initRecords(response.audit.size());
                for (unsigned index = 0; index < response.audit.size(); ++index)
                    wire::write(records[index], response.audit[index]);
            });
    }

private:
    void requireChange() const
    {
        KJ_REQUIRE(m_operator.mayChange, "this operator may only read: use an operator with mayChange");
    }

    template <class Payload> kj::Promise<propose_response> propose(Payload payload)
    {
        return postEvent<propose_response>(
            m_context.node, propose_event { core::command { 0, std::move(payload) }, {} });
    }

    void writeStatus(wire::ControlStatus::Builder out, const status_response& response) const
    {
        out.setNode(response.node);
        out.setRole(core::raftRoleName(response.role));
        out.setTerm(response.term);
        out.setCommitIndex(response.commitIndex);
        out.setAppliedIndex(response.appliedIndex);
        out.setRevision(response.revision);
        out.setClaims(response.claims);
        out.setFormed(!response.members.members.empty());
        auto members = out.initMembers(response.members.members.size());
        for (unsigned index = 0; index < response.members.members.size(); ++index)
            wire::write(members[index], response.members.members[index]);
        auto entries = out.initEntries(m_context.entries.size());
        unsigned index = 0;
        for (const auto& [name, entry] : m_context.entries) {
            auto to = entries[index++];
            to.setName(name);
            to.setFailureDomain(entry.failureDomain);
            to.setRevision(entry.revision);
            auto age = std::chrono::duration_cast<core::milliseconds>(runtime::now() - entry.lastSeenAt);
            to.setAgeMs(static_cast<std::uint64_t>(age.count()));
        }
    }

    service_context& m_context;
    runtime::operator_setting m_operator;
};

class control_server final : public wire::Control::Server {
public:
    explicit control_server(service_context& context)
        : m_context(context)
    {
    }

    kj::Promise<void> peer(PeerContext call) override
    {
        requireSecret(m_context, call.getParams().getSecret());
        call.getResults().setPeer(kj::heap<peer_server>(m_context));
        return kj::READY_NOW;
    }

    kj::Promise<void> operator_(OperatorContext call) override
    {
        std::string hash = runtime::sha256Hex(call.getParams().getToken().cStr());
        for (const auto& each : m_context.settings.control->operators) {
            if (!runtime::secretsMatch(each.tokenHash, hash))
                continue;
            call.getResults().setOperator(kj::heap<operator_server>(m_context, each));
            return kj::READY_NOW;
        }
        runtime::log_event("operator_refused", runtime::log_level::warning);
        KJ_FAIL_REQUIRE("the operator's token is not known: list its hash under /control/operators");
    }

    kj::Promise<void> entry(EntryContext call) override
    {
        auto params = call.getParams();
        requireSecret(m_context, params.getSecret());
        auto now = runtime::now();
        std::erase_if(
            m_context.entries, [&](const auto& each) { return now - each.second.lastSeenAt > entryMaxAge; });
        call.getResults().setSession(
            kj::heap<entry_server>(m_context, params.getName().cStr(), params.getFailureDomain().cStr()));
        return kj::READY_NOW;
    }

private:
    service_context& m_context;
};

} // namespace

wire::Control::Client makeControlService(service_context& context)
{
    return kj::heap<control_server>(context);
}

} // namespace plumfold::control

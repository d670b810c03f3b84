#include "plumfold/control/plumfold_control_node.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <algorithm>

namespace plumfold::control {

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr std::size_t maxEventsPerSync = 512;
constexpr core::milliseconds tickInterval { 15 };

core::raft_options raftOptions(const control_node_options& options)
{
    core::raft_options raft;
    raft.node = options.name;
    raft.address = options.address;
    raft.electionTimeout = options.electionTimeout;
    raft.heartbeatInterval = options.electionTimeout / 5;
    raft.seed = options.seed;
    return raft;
}

} // namespace

control_node::control_node(control_node_options options, std::unique_ptr<durable_log> log, sender send,
    view_listener viewed, std::function<void(const std::string&)> failed)
    : m_options(std::move(options))
    , m_log(std::move(log))
    , m_raft([&] {
        core::raft_disk_state state = m_log->takeState();
        if (state.snapshot.index > 0)
            m_state = core::control_state(wire::decode<wire::ControlSnapshot>(state.snapshot.state));
        m_appliedIndex = state.snapshot.index;
        m_appliedTerm = state.snapshot.term;
        m_appliedMembers = state.snapshot.members;
        return core::raft_node(raftOptions(m_options), std::move(state), runtime::now());
    }())
    , m_send(std::move(send))
    , m_viewed(std::move(viewed))
    , m_failed(std::move(failed))
    , m_ring(ringCapacity)
    , m_thread([this] { run(); })
{
}

control_node::~control_node()
{
    m_stopping = true;
    m_ring.close();
    m_thread.join();
}

void control_node::run()
{
    auto nextTick = runtime::now();
    while (!m_stopping) {
        auto event = m_ring.pop(std::max(nextTick - runtime::now(), std::chrono::steady_clock::duration(0)));
        // All events at hand share one sync.
        for (std::size_t count = 0; event && count < maxEventsPerSync; ++count) {
            std::visit([&](auto& each) { handle(each); }, *event);
            event = m_ring.pop(std::chrono::steady_clock::duration(0));
        }
        if (event)
            std::visit([&](auto& each) { handle(each); }, *event);
        if (runtime::now() >= nextTick) {
            nextTick = runtime::now() + tickInterval;
            m_raft.tick(runtime::now());
        }
        if (!doWork())
            return;
        answerWatches();
        tellView();
        logRoleChange();
        maybeCompact();
    }
}

bool control_node::doWork()
{
    while (true) {
        core::raft_output work = m_raft.takeOutput();
        if (work.empty())
            return true;
        if (work.needsSync()) {
            if (auto status = m_log->persist(work); !status.ok()) {
                m_failed(std::string(status.message()));
                return false;
            }
            m_raft.persisted(runtime::now());
        }
        if (work.install) {
            m_state = core::control_state(wire::decode<wire::ControlSnapshot>(work.install->state));
            m_appliedIndex = work.install->index;
            m_appliedTerm = work.install->term;
            m_appliedMembers = work.install->members;
        }
        if (!work.messages.empty())
            m_send(std::move(work.messages));
        for (const auto& entry : work.committed)
            apply(entry);
    }
}

void control_node::apply(const core::log_entry& entry)
{
    core::command_result result;
    if (entry.kind == core::entry_kind::command) {
        auto next = wire::decode<wire::Command>(entry.payload);
        m_lastCommandTime = std::max(m_lastCommandTime, next.at);
        result = m_state.apply(next);
    }
    if (entry.kind == core::entry_kind::membership)
        m_appliedMembers = entry.members;
    m_appliedIndex = entry.index;
    m_appliedTerm = entry.term;
    auto found = m_proposals.find(entry.index);
    if (found == m_proposals.end())
        return;
    pending_proposal pending = std::move(found->second);
    m_proposals.erase(found);
    if (pending.term == entry.term)
        pending.answer->done(propose_answer { true, {}, {}, std::move(result), entry.index });
    else
        pending.answer->done(refusal("another leader took over: try again"));
}

propose_answer control_node::refusal(std::string message) const
{
    propose_answer answer;
    answer.leaderAddress = m_raft.leaderAddress();
    answer.message = std::move(message);
    return answer;
}

void control_node::tellView()
{
    bool fresh = m_raft.isCaughtUp(runtime::now());
    bool leads = m_raft.role() == core::raft_role::leader;
    std::string leader = m_raft.leaderAddress();
    bool sameDeployment = m_view.deployment && m_view.deployment->revision == m_state.deployment().revision;
    bool same = sameDeployment && m_view.appliedIndex == m_appliedIndex && m_view.fresh == fresh
        && m_view.leads == leads && m_view.term == m_raft.term() && m_view.leaderAddress == leader
        && m_view.members == m_raft.members();
    if (same)
        return;
    if (!sameDeployment)
        m_view.deployment = std::make_shared<const core::deployment_state>(m_state.deployment());
    m_view.appliedIndex = m_appliedIndex;
    m_view.fresh = fresh;
    m_view.leads = leads;
    m_view.term = m_raft.term();
    m_view.leaderAddress = std::move(leader);
    m_view.members = m_raft.members();
    m_viewed(m_view);
}

void control_node::logRoleChange()
{
    if (m_raft.role() == m_loggedRole)
        return;
    m_loggedRole = m_raft.role();
    runtime::log_event("role_changed")
        .with("role", core::raftRoleName(m_loggedRole))
        .with("term", m_raft.term())
        .with("commit_index", m_raft.commitIndex())
        .with("voters", m_raft.members().voters());
}

void control_node::handle(hand_over_event&)
{
    m_raft.transferLeadership(runtime::now());
}

void control_node::handle(peer_message_event& event)
{
    m_raft.step(event.message, runtime::now());
}

void control_node::handle(propose_event& event)
{
    if (m_raft.role() != core::raft_role::leader) {
        event.answer->done(refusal("this control VM does not lead: call the leader"));
        return;
    }
    if (!m_log->hasRoom()) {
        event.answer->done(refusal("the data folder is full: free space on the control VM's disk"));
        return;
    }
    event.what.at = std::max(runtime::unixNow(), m_lastCommandTime);
    auto index = m_raft.propose(wire::encode<wire::Command>(event.what), runtime::now());
    if (!index) {
        event.answer->done(refusal("this control VM just lost its lead: call the leader"));
        return;
    }
    m_proposals[*index] = pending_proposal { m_raft.term(), std::move(event.answer) };
}

void control_node::handle(watch_event& event)
{
    bool news = event.knownRevision != m_state.config().revision()
        || event.knownDigest != m_state.config().digest();
    if (news)
        event.answer->done(watchAnswer(event.knownRevision));
    else
        m_watches.push_back(std::move(event));
}

watch_answer control_node::watchAnswer(std::uint64_t knownRevision) const
{
    watch_answer answer;
    const auto& config = m_state.config();
    answer.update.revision = config.revision();
    answer.update.digest = config.digest();
    if (auto deltas = m_state.deltasAfter(knownRevision))
        answer.update.deltas = std::move(*deltas);
    else
        answer.update.full = config.records();
    answer.fresh = m_raft.isCaughtUp(runtime::now());
    answer.verdicts = m_state.verdicts();
    return answer;
}

void control_node::answerWatches()
{
    auto now = runtime::now();
    std::erase_if(m_watches, [&](watch_event& each) {
        if (each.knownRevision == m_state.config().revision() && now < each.until)
            return false;
        each.answer->done(watchAnswer(each.knownRevision));
        return true;
    });
}

void control_node::handle(status_event& event)
{
    status_answer answer;
    answer.node = m_options.name;
    answer.role = m_raft.role();
    answer.term = m_raft.term();
    answer.commitIndex = m_raft.commitIndex();
    answer.appliedIndex = m_appliedIndex;
    answer.revision = m_state.config().revision();
    answer.members = m_raft.members();
    answer.claims = m_state.claims().size();
    answer.usage = m_state.usage();
    answer.audit.assign(m_state.audit().begin(), m_state.audit().end());
    event.answer->done(std::move(answer));
}

void control_node::handle(form_event& event)
{
    if (m_raft.bootstrap(runtime::now()))
        event.answer->done(propose_answer { true, m_options.address, {}, {}, 0 });
    else
        event.answer->done(refusal("this control VM already belongs to a group: nothing needs to be formed"));
}

void control_node::maybeCompact()
{
    if (m_appliedIndex < m_raft.firstIndex() + m_options.snapshotEveryEntries)
        return;
    core::raft_snapshot snapshot;
    snapshot.index = m_appliedIndex;
    snapshot.term = m_appliedTerm;
    snapshot.members = m_appliedMembers;
    snapshot.state = wire::encode<wire::ControlSnapshot>(m_state.snapshot());
    m_raft.compact(snapshot);
    if (auto status = m_log->compact(snapshot, m_raft.hardState(), m_raft.entries()); !status.ok()) {
        m_failed(std::string(status.message()));
        return;
    }
    runtime::log_event("snapshot").with("index", snapshot.index).with("bytes", snapshot.state.size());
}

} // namespace plumfold::control

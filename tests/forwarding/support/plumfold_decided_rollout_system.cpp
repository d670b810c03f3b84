#include "plumfold_decided_rollout_system.hpp"

#include "plumfold_command_submitter.hpp"

#include "plumfold/core/rollout/plumfold_rollout_names.hpp"

namespace plumfold::tests {

namespace {

constexpr int controls = 3;

} // namespace

decided_rollout_system::decided_rollout_system(bool hasNext)
{
    enableRollouts();
    for (int number = 1; number <= controls; ++number)
        startControl(number);
    putDeployment(1, deployment(3));
    for (int number = 1; number <= entries; ++number)
        startEntry(number);
    for (const char* name : { "a1", "a2" })
        start(name, "v1");
    if (hasNext)
        startNext();
    for (int number = 1; number <= entries; ++number)
        waitForTarget(number);
}

scripted_target& decided_rollout_system::start(const std::string& name, const std::string& version)
{
    m_started.push_back(&startTarget(name, "shop", {}, version));
    return *m_started.back();
}

void decided_rollout_system::startNext()
{
    for (const char* name : { "b1", "b2" })
        start(name, "v2");
}

core::rollout_result decided_rollout_system::submit(const core::command& command)
{
    return std::get<core::rollout_result>(submitCommand(*this, controls, command));
}

void decided_rollout_system::begin()
{
    m_rollout = submit({ 0, core::begin_rollout_command { "shop", "v2", { "v1" }, 60'000, 0 } });
    for (int number = 1; number <= entries; ++number)
        eventually([&] { return logged(number, "rollout_in_force") > 0; });
}

void decided_rollout_system::decide(std::uint32_t share, core::rollout_state state, bool waits)
{
    core::decide_rollout_command decision;
    decision.service = "shop";
    decision.id = m_rollout.id;
    decision.sequence = m_sequence++;
    decision.state = state;
    decision.stage
        = state == core::rollout_state::running ? core::rollout_stage::canary : core::rollout_stage::ended;
    decision.share = share;
    submit({ 0, decision });
    auto text = "state=" + std::string(core::rolloutStateName(state));
    auto sequence = "sequence=" + std::to_string(m_sequence);
    for (int number = 1; waits && number <= entries; ++number)
        eventually([&] { return logged(number, text) > 0 && logged(number, sequence) > 0; });
}

std::map<int, int> decided_rollout_system::send(int count, const std::string& path)
{
    std::map<int, int> statuses;
    for (int number = 0; number < count; ++number)
        ++statuses[request(1 + number % entries, path).status];
    return statuses;
}

std::vector<std::string> decided_rollout_system::idsAt(const std::string& version) const
{
    std::vector<std::string> ids;
    for (const auto* target : m_started) {
        for (const auto& each : target->requests()) {
            auto id = each.headers.find("request-id");
            if (target->version() == version && id != each.headers.end())
                ids.push_back(id->second);
        }
    }
    return ids;
}

std::size_t decided_rollout_system::requestsTo(const std::string& version) const
{
    return idsAt(version).size();
}

std::size_t decided_rollout_system::logged(int entry, const std::string& text) const
{
    auto log = logOf("n" + std::to_string(entry));
    std::size_t count = 0;
    for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
        ++count;
    return count;
}

} // namespace plumfold::tests

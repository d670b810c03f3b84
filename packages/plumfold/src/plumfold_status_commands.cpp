#include "plumfold_commands_registry.hpp"
#include "plumfold_output.hpp"

#include "plumfold/control/plumfold_durable_log.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/runtime/plumfold_trace.hpp"

#include <fstream>
#include <iostream>
#include <map>

namespace plumfold::cli {

namespace {

using nlohmann::json;

json toJson(const control_state_report& report)
{
    json members = json::array();
    for (const auto& member : report.members)
        members.push_back({ { "node", member.node }, { "voter", member.voter }, { "address", member.address },
            { "failure_domain", member.failureDomain } });
    json entries = json::array();
    for (const auto& entry : report.entries) {
        entries.push_back({ { "name", entry.name }, { "failure_domain", entry.failureDomain },
            { "revision", entry.revision }, { "age_ms", entry.ageMs } });
    }
    return {
        { "address", report.address },
        { "reachable", report.reachable },
        { "node", report.node },
        { "role", report.role },
        { "term", report.term },
        { "commit_index", report.commitIndex },
        { "applied_index", report.appliedIndex },
        { "revision", report.revision },
        { "claims", report.claims },
        { "members", members },
        { "entries", entries },
    };
}

int status(command_context& context)
{
    operator_client client(context.connection);
    json rows = json::array();
    bool anyLeader = false;
    for (const auto& report : client.status()) {
        anyLeader = anyLeader || report.role == "leader";
        rows.push_back(toJson(report));
    }
    print(rows, context.asJson());
    return anyLeader ? exit_ok : exit_unavailable;
}

int usage(command_context& context)
{
    operator_client client(context.connection);
    auto rows = client.usage();
    if (!rows.ok())
        return printFailure(rows.status(), context.asJson());
    json out = json::array();
    for (const auto& row : *rows) {
        out.push_back({ { "customer", row.customer }, { "model", row.model }, { "requests", row.requests },
            { "prompt_tokens", row.promptTokens }, { "cached_tokens", row.cachedTokens },
            { "output_tokens", row.outputTokens }, { "failed", row.failed } });
    }
    print(out, context.asJson());
    return exit_ok;
}

int audit(command_context& context)
{
    operator_client client(context.connection);
    auto records = client.audit();
    if (!records.ok())
        return printFailure(records.status(), context.asJson());
    json out = json::array();
    for (const auto& record : *records) {
        const auto* put = std::get_if<core::record>(&record.appliedDelta.appliedChange);
        core::record_key key
            = put ? core::keyOf(*put) : std::get<core::record_key>(record.appliedDelta.appliedChange);
        out.push_back(
            { { "at", record.at }, { "operator", record.operatorName }, { "request_id", record.requestId },
                { "revision", record.appliedDelta.revision }, { "action", put ? "put" : "remove" },
                { "kind", core::recordKindName(key.kind) }, { "name", key.name } });
    }
    print(out, context.asJson());
    return exit_ok;
}

int checkSettings(command_context& context, const std::string& file)
{
    auto settings = runtime::loadSettings(file);
    absl::Status checked = settings.ok() ? runtime::checkAddresses(*settings, file) : settings.status();
    if (!checked.ok())
        return printFailure(checked, context.asJson());
    print({ { "file", file }, { "valid", true } }, context.asJson());
    return exit_ok;
}

int verifyState(command_context& context, const std::string& folder)
{
    auto state = control::durable_log::inspect(folder);
    if (!state.ok())
        return printFailure(state.status(), context.asJson());
    print({ { "folder", folder }, { "term", state->hard.term }, { "snapshot_index", state->snapshot.index },
              { "entries", state->entries.size() }, { "valid", true } },
        context.asJson());
    return exit_ok;
}

void printTree(
    const std::multimap<std::string, runtime::span>& children, const runtime::span& root, int depth)
{
    auto length = (root.endNanoseconds - root.startNanoseconds) / 1000;
    std::cout << std::string(static_cast<std::size_t>(depth) * 2, ' ') << root.name << ' ' << length << "us";
    for (const auto& [key, value] : root.attributes)
        std::cout << ' ' << key << '=' << value;
    std::cout << '\n';
    auto [begin, end] = children.equal_range(root.context.spanId);
    for (auto it = begin; it != end; ++it)
        printTree(children, it->second, depth + 1);
}

int printTrace(command_context& context, const std::string& file, const std::string& request)
{
    std::ifstream in(file);
    if (!in)
        return printFailure(
            absl::NotFoundError(file + ": cannot be read; give a trace file"), context.asJson());
    std::multimap<std::string, runtime::span> children;
    std::vector<runtime::span> roots;
    std::string line;
    while (std::getline(in, line)) {
        runtime::span next = runtime::fromOtlpLine(line);
        bool matches = next.name == "entry" && (request.empty() || next.attributes["request"] == request);
        if (matches)
            roots.push_back(next);
        children.emplace(next.parentSpanId, std::move(next));
    }
    for (const auto& root : roots)
        printTree(children, root, 0);
    return roots.empty() ? exit_invalid : exit_ok;
}

} // namespace

void addStatusCommands(CLI::App& app, command_context& context)
{
    app.add_subcommand("status", "state of all control VMs and entries")->callback([&] {
        context.action = [&] { return status(context); };
    });
    app.add_subcommand("usage", "usage of all customers")->callback([&] {
        context.action = [&] { return usage(context); };
    });
    app.add_subcommand("audit", "accepted changes and who made them")->callback([&] {
        context.action = [&] { return audit(context); };
    });
    auto* control = app.add_subcommand("control", "the control group");
    control->require_subcommand(1);
    static std::string address;
    auto* form = control->add_subcommand("form", "form a new group; once for an installation");
    form->add_option("address", address, "control VM that starts the group")->required();
    form->callback([&] {
        context.action = [&] {
            operator_client client(context.connection);
            auto formed = client.form(address);
            if (!formed.ok())
                return printFailure(formed, context.asJson());
            print({ { "formed", address } }, context.asJson());
            return static_cast<int>(exit_ok);
        };
    });
    auto* verdict = app.add_subcommand("verdict", "requests that crash targets");
    verdict->require_subcommand(1);
    static std::uint64_t fingerprint = 0;
    auto* withdraw = verdict->add_subcommand("withdraw", "let a request run again");
    withdraw->add_option("fingerprint", fingerprint, "as the log event request_condemned names it")
        ->required();
    withdraw->callback([&] {
        context.action = [&] {
            operator_client client(context.connection);
            auto withdrawn = client.withdrawVerdict(fingerprint);
            if (!withdrawn.ok())
                return printFailure(withdrawn, context.asJson());
            print({ { "withdrawn", fingerprint } }, context.asJson());
            return static_cast<int>(exit_ok);
        };
    });
}

void addSettingsCommands(CLI::App& app, command_context& context)
{
    auto* settings = app.add_subcommand("settings", "settings files");
    settings->require_subcommand(1);
    static std::string file;
    auto* check = settings->add_subcommand("check", "check a settings file and its addresses");
    check->add_option("file", file)->required();
    check->callback([&] { context.action = [&] { return checkSettings(context, file); }; });
    settings->add_subcommand("reference", "list every key")->callback([&] {
        context.action = [] {
            std::cout << runtime::settingsReference();
            return static_cast<int>(exit_ok);
        };
    });
}

void addStateCommands(CLI::App& app, command_context& context)
{
    auto* state = app.add_subcommand("state", "data folders, offline");
    state->require_subcommand(1);
    static std::string folder;
    auto* verify = state->add_subcommand("verify", "check every record of a data folder");
    verify->add_option("folder", folder)->required();
    verify->callback([&] { context.action = [&] { return verifyState(context, folder); }; });
}

void addTraceCommand(CLI::App& app, command_context& context)
{
    static std::string file;
    static std::string request;
    auto* trace = app.add_subcommand("trace", "print requests of a trace file as trees");
    trace->add_option("file", file)->required();
    trace->add_option("--request", request, "only this request");
    trace->callback([&] { context.action = [&] { return printTrace(context, file, request); }; });
}

} // namespace plumfold::cli

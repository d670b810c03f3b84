#include "plumfold_commands_registry.hpp"
#include "plumfold_output.hpp"

#include "plumfold/runtime/plumfold_secrets.hpp"

namespace plumfold::cli {

namespace {

constexpr std::size_t requestIdBytes = 8;

/// Options that all changes have.
struct change_options {
    std::string requestId;
    std::uint64_t expectedRevision = 0;
};

void addChangeOptions(CLI::App& command, change_options& options)
{
    command.add_option("--request-id", options.requestId, "the same id is answered the same way again");
    command.add_option("--revision", options.expectedRevision, "the revision that the change is based on");
}

int change(command_context& context, const core::change& what, change_options options)
{
    if (options.requestId.empty())
        options.requestId = runtime::randomHex(requestIdBytes);
    operator_client client(context.connection);
    auto result = client.change(what, options.requestId, options.expectedRevision);
    if (!result.ok())
        return printFailure(result.status(), context.asJson());
    print({ { "revision", result->revision }, { "request_id", options.requestId } }, context.asJson());
    return exit_ok;
}

int list(command_context& context, core::record_kind kind)
{
    operator_client client(context.connection);
    auto config = client.read();
    if (!config.ok())
        return printFailure(config.status(), context.asJson());
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& value : config->records()) {
        if (core::keyOf(value).kind == kind)
            rows.push_back(toJson(value));
    }
    print(rows, context.asJson());
    return exit_ok;
}

/// Option values of the subcommands for one record kind. Their callbacks share ownership, because they run
/// after addKind() has returned.
template <class Record> struct record_command {
    Record record;
    change_options options;
    std::string name;
};

/// Adds `KIND put`, `KIND remove` and `KIND list`.
/// @param describe adds the options of `put`.
template <class Record>
void addKind(CLI::App& app, command_context& context, core::record_kind kind, const std::string& help,
    const std::function<void(CLI::App&, Record&)>& describe)
{
    auto state = std::make_shared<record_command<Record>>();
    auto* group = app.add_subcommand(core::recordKindName(kind), help);
    group->require_subcommand(1);
    auto* put = group->add_subcommand("put", "create or change");
    describe(*put, state->record);
    addChangeOptions(*put, state->options);
    put->callback([&context, state] {
        context.action
            = [&context, state] { return change(context, core::record(state->record), state->options); };
    });
    auto* remove = group->add_subcommand("remove", "remove");
    remove->add_option("name", state->name)->required();
    addChangeOptions(*remove, state->options);
    remove->callback([&context, state, kind] {
        context.action = [&context, state, kind] {
            return change(context, core::record_key { kind, state->name }, state->options);
        };
    });
    auto* listing = group->add_subcommand("list", "list");
    listing->callback(
        [&context, kind] { context.action = [&context, kind] { return list(context, kind); }; });
}

void describeCustomer(CLI::App& put, core::customer_record& record)
{
    put.add_option("name", record.name)->required();
    put.add_option_function<std::string>(
           "--key", [&record](const std::string& key) { record.keyHash = runtime::sha256Hex(key); },
           "API key; only its hash is kept")
        ->required();
    put.add_option("--weight", record.weight, "share in fair queueing")->default_val(1);
    put.add_option("--max-in-flight", record.maxInFlight, "running requests on one entry")->default_val(64);
    put.add_option("--max-queued", record.maxQueued, "waiting requests on one entry")->default_val(64);
    put.add_option("--model", record.models, "model or service that the customer may call")->delimiter(',');
}

void describeModel(CLI::App& put, core::model_record& record)
{
    put.add_option("name", record.name)->required();
    put.add_option("--max-prompt-bytes", record.maxPromptBytes)->default_val(262144);
    put.add_option("--max-tokens", record.maxTokens)->default_val(4096);
}

void describeDomain(CLI::App& put, core::failure_domain_record& record)
{
    put.add_option("name", record.name)->required();
    put.add_option("--in-service", record.inService, "false takes it out")->default_val(true);
    put.add_option("--max-concurrent-loads", record.maxConcurrentLoads)->default_val(3);
}

void describeTarget(CLI::App& put, core::target_record& record)
{
    put.add_option("name", record.name)->required();
    put.add_option("--in-service", record.inService, "false takes it out")->default_val(true);
    put.add_option("--checks-fencing", record.checksFencing, "refuses orders with an old number")
        ->default_val(false);
}

void describeService(CLI::App& put, core::service_record& record)
{
    put.add_option("name", record.name)->required();
    put.add_option("--repeatable", record.repeatable, "whether a call may run more than once")
        ->default_val(false);
    put.add_option("--timeout-ms", record.timeoutMs)->default_val(30000);
}

} // namespace

void addRecordCommands(CLI::App& app, command_context& context)
{
    using core::record_kind;
    addKind<core::customer_record>(app, context, record_kind::customer, "customers", describeCustomer);
    addKind<core::model_record>(app, context, record_kind::model, "models", describeModel);
    addKind<core::adapter_record>(app, context, record_kind::adapter, "adapters of models",
        [](CLI::App& put, core::adapter_record& record) {
            put.add_option("name", record.name)->required();
            put.add_option("--model", record.model)->required();
        });
    addKind<core::weight_version_record>(app, context, record_kind::weight_version,
        "weight versions in force", [](CLI::App& put, core::weight_version_record& record) {
            put.add_option("model", record.model)->required();
            put.add_option("version", record.version)->required();
        });
    addKind<core::failure_domain_record>(
        app, context, record_kind::failure_domain, "failure domains", describeDomain);
    addKind<core::target_record>(app, context, record_kind::target, "targets", describeTarget);
    addKind<core::service_record>(app, context, record_kind::service, "plain services", describeService);
}

} // namespace plumfold::cli

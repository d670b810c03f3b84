#include "plumfold_commands_registry.hpp"
#include "plumfold_output.hpp"

#include "plumfold/client/plumfold_load_run.hpp"

namespace plumfold::cli {

namespace {

int load(const command_context& context, const client::load_options& options)
{
    client::load_report report = client::runLoad(options);
    nlohmann::json out {
        { "requests", report.requests },
        { "served", report.served },
        { "refused", report.refused },
        { "failed", report.failed },
        { "served_by_domain", report.servedByDomain },
        { "first_token_ms_median", report.firstTokenMedianMs },
        { "first_token_ms_95", report.firstToken95Ms },
        { "prompt_tokens", report.promptTokens },
        { "recomputed_share", report.recomputedShare() },
        { "link_import_bytes", report.importBytes },
        { "link_export_bytes", report.exportBytes },
    };
    print(out, context.asJson());
    return report.failed == 0 ? exit_ok : exit_failed;
}

} // namespace

void addLoadCommand(CLI::App& app, command_context& context)
{
    static client::load_options options;
    auto* command = app.add_subcommand("load", "send a bounded load and print the measures");
    command->add_option("--entry", options.entries, "addresses of entries")->delimiter(',')->required();
    command->add_option("--key", options.apiKey, "API key of a customer")->required();
    command->add_option("--model", options.model)->required();
    command->add_option("--requests", options.requests)->check(CLI::Range(1, 1'000'000));
    command->add_option("--concurrency", options.concurrency)->check(CLI::Range(1, 1000));
    command->add_option("--conversations", options.conversations)->check(CLI::Range(1, 1'000'000));
    command->add_option("--prompt-bytes", options.firstPromptBytes);
    command->add_option("--growth-bytes", options.growthBytes);
    command->add_option("--max-tokens", options.maxTokens);
    command->add_option("--seed", options.seed);
    command->add_flag("--retry", options.retry, "send refused requests again when they say so");
    command->add_option("--record", options.recordFile, "one JSON line per answer");
    command->callback([&] { context.action = [&] { return load(context, options); }; });
}

} // namespace plumfold::cli

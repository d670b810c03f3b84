// Command line for operators and testers.

#include "plumfold_commands_registry.hpp"
#include "plumfold_output.hpp"

int main(int argc, char** argv)
{
    using namespace plumfold::cli;
    CLI::App app { "plumfold: operate a plumfold system" };
    app.require_subcommand(1);
    app.fallthrough();
    command_context context;
    app.add_option("--control", context.connection.control, "addresses of control VMs")
        ->delimiter(',')
        ->envname("PLUMFOLD_CONTROL");
    app.add_option("--token", context.connection.token, "the operator's token")->envname("PLUMFOLD_TOKEN");
    app.add_option("--output", context.output, "text or json")->check(CLI::IsMember({ "text", "json" }));
    addSettingsCommands(app, context);
    addRecordCommands(app, context);
    addStatusCommands(app, context);
    addStateCommands(app, context);
    addTraceCommand(app, context);
    addLoadCommand(app, context);
    addRolloutCommands(app, context);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        int code = app.exit(error);
        return code == 0 ? exit_ok : exit_usage;
    }
    return context.action();
}

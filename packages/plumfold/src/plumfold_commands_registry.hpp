#pragma once

#include "plumfold_operator_client.hpp"

#include <CLI/CLI.hpp>

#include <functional>
#include <memory>
#include <string>

namespace plumfold::cli {

/// State that all subcommands share.
struct command_context {
    operator_client_options connection;
    std::string output = "text";
    std::function<int()> action; ///< Set by the chosen subcommand; returns the exit code.

    bool asJson() const { return output == "json"; }
};

void addSettingsCommands(CLI::App& app, command_context& context);
void addRecordCommands(CLI::App& app, command_context& context);
void addStatusCommands(CLI::App& app, command_context& context);
void addStateCommands(CLI::App& app, command_context& context);
void addTraceCommand(CLI::App& app, command_context& context);
void addLoadCommand(CLI::App& app, command_context& context);
void addRolloutCommands(CLI::App& app, command_context& context);

} // namespace plumfold::cli

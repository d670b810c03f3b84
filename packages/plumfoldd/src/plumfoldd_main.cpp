// Server process: runs the roles in its settings file until SIGTERM or SIGINT.

#include "plumfold/control/plumfold_control_role.hpp"
#include "plumfold/entry/plumfold_entry_role.hpp"
#include "plumfold/forwarding/plumfold_forwarding_role.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/runtime/plumfold_stop_signal.hpp"
#include "plumfold/store/plumfold_store_role.hpp"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>
#include <kj/exception.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

namespace {

using plumfold::runtime::log_event;
using plumfold::runtime::log_level;

constexpr int exitInvalidSettings = 2;
constexpr int exitStartFailed = 3;
constexpr int exitDiskFailed = 4;
/// Blocks of this size are returned to the system when they are freed. Without a fixed threshold, glibc keeps
/// freed blocks of up to 32 MiB for each thread, which for bodies exceeds the memory of a control VM.
constexpr int largeBlockBytes = 256 << 10;

/// Ends the process when the disk fails, because acknowledged changes would no longer be durable.
void stopOnDiskFailure(const std::string& message)
{
    log_event("disk_failed", log_level::error).with("message", message);
    std::_Exit(exitDiskFailed);
}

/// Reloads the settings file and applies the only setting that can change at run time: the seed control VMs.
void reload(const std::string& file, plumfold::forwarding::forwarding_role* forwarding)
{
    auto settings = plumfold::runtime::loadSettings(file);
    if (!settings.ok()) {
        log_event("reload_failed", log_level::error)
            .with("message", std::string(settings.status().message()));
        return;
    }
    if (forwarding && settings->forwarding)
        forwarding->setControlSeeds(settings->forwarding->control);
    log_event("reloaded").with("file", file);
}

int run(const plumfold::runtime::settings& settings, const std::string& file)
{
    plumfold::wire::rpc_thread rpc;
    std::unique_ptr<plumfold::control::control_role> control;
    std::unique_ptr<plumfold::store::store_role> store;
    std::unique_ptr<plumfold::entry::entry_role> entry;
    if (settings.control) {
        mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
        auto started = plumfold::control::control_role::start(settings, rpc, stopOnDiskFailure);
        if (!started.ok()) {
            log_event("start_failed", log_level::error)
                .with("message", std::string(started.status().message()));
            std::cerr << started.status().message() << '\n';
            return exitStartFailed;
        }
        control = std::move(*started);
    }
    if (settings.store)
        store = std::make_unique<plumfold::store::store_role>(settings, rpc);
    if (settings.entry)
        entry = std::make_unique<plumfold::entry::entry_role>(settings, rpc);
    std::unique_ptr<plumfold::forwarding::forwarding_role> forwarding;
    if (settings.forwarding)
        forwarding = std::make_unique<plumfold::forwarding::forwarding_role>(settings, rpc);
    log_event("started").with("failure_domain", settings.process.failureDomain);
    while (plumfold::runtime::waitForSignal() == plumfold::runtime::process_signal::reload)
        reload(file, forwarding.get());
    log_event("stopping");
    if (control)
        control->beginLeaving();
    if (entry)
        entry->drain();
    if (forwarding)
        forwarding->drain();
    forwarding.reset();
    entry.reset();
    store.reset();
    if (control)
        control->waitUntilLeft();
    control.reset();
    log_event("stopped");
    plumfold::runtime::closeLog();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    plumfold::runtime::blockStopSignals();
    CLI::App app { "plumfoldd: the plumfold server" };
    std::string file;
    std::vector<std::string> overrides;
    app.add_option("--settings", file, "settings file, JSON with comments")
        ->envname("PLUMFOLD_CONFIG")
        ->required();
    app.add_option("--set", overrides, "KEY=VALUE, replaces a setting of the file; may be repeated")
        ->allow_extra_args(false);
    CLI11_PARSE(app, argc, argv);

    auto settings = plumfold::runtime::loadSettings(file, overrides);
    absl::Status status = settings.status();
    if (status.ok())
        status = plumfold::runtime::checkAddresses(*settings, file);
    if (!status.ok()) {
        std::cerr << status.message() << '\n';
        return exitInvalidSettings;
    }
    plumfold::runtime::openLog(settings->process.logFile, settings->process.name);
    try {
        return run(*settings, file);
    } catch (const Poco::Exception& error) {
        std::cerr << "cannot start: " << error.displayText() << '\n';
    } catch (const kj::Exception& error) {
        std::cerr << "cannot start: " << error.getDescription().cStr() << '\n';
    }
    return exitStartFailed;
}

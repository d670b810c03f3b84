#pragma once

namespace plumfold::runtime {

/// What an operator or the platform tells a process by a signal.
enum class process_signal {
    stop, ///< SIGTERM or SIGINT
    reload, ///< SIGHUP: the settings file has changed.
};

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and those started later, and ignores SIGPIPE. Call it
/// before any thread is started.
void blockStopSignals();

/// Waits until one of the signals arrives.
process_signal waitForSignal();

} // namespace plumfold::runtime

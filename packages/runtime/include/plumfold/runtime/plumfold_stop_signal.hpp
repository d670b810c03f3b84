#pragma once

namespace plumfold::runtime {

/// Signals that a process handles.
enum class process_signal {
    stop, ///< SIGTERM or SIGINT
    reload, ///< SIGHUP: reload the settings file.
};

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and the threads that it starts later, and ignores
/// SIGPIPE. Call it before any thread is started.
void blockStopSignals();

/// Blocks until SIGTERM, SIGINT or SIGHUP arrives.
process_signal waitForSignal();

} // namespace plumfold::runtime

#include "plumfold/runtime/plumfold_stop_signal.hpp"

#include <csignal>
#include <pthread.h>

namespace plumfold::runtime {

namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

void blockStopSignals()
{
    sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

process_signal waitForSignal()
{
    sigset_t set = stopSignals();
    int signal = 0;
    sigwait(&set, &signal);
    return signal == SIGHUP ? process_signal::reload : process_signal::stop;
}

} // namespace plumfold::runtime

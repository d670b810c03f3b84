#pragma once

#include <kj/async-io.h>
#include <kj/async.h>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace plumfold::wire {

/// A duty thread that runs one KJ event loop. All capabilities of that loop live and die on it.
class rpc_thread {
public:
    rpc_thread();
    ~rpc_thread();
    rpc_thread(const rpc_thread&) = delete;
    rpc_thread& operator=(const rpc_thread&) = delete;

    /// Runs a function on the loop and waits for its result; a promise is waited for as well.
    /// @throws kj::Exception what the function throws, or when the loop has ended.
    template <class Function> auto run(Function&& function)
    {
        return m_executor->executeSync(std::forward<Function>(function));
    }

    /// Runs a function on the loop without waiting for it.
    void post(std::function<void()> function);

    /// Waits until everything posted so far has run.
    void flush();

    // The members below may only be used on the loop.

    kj::Network& network() { return m_io->provider->getNetwork(); }
    kj::Timer& timer() { return m_io->provider->getTimer(); }

private:
    class ignored_task_errors;
    struct posted_functions;

    void loop(std::promise<void>& ready);
    void drainPosted();

    std::unique_ptr<posted_functions> m_posted;
    kj::AsyncIoContext* m_io = nullptr;
    kj::TaskSet* m_tasks = nullptr;
    kj::Own<const kj::Executor> m_executor;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_stop;
    std::thread m_thread;
};

} // namespace plumfold::wire

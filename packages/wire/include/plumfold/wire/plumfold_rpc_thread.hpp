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

class incoming_messages;

/// A thread that runs one KJ event loop. Capabilities of that loop may only be used and destroyed on it.
class rpc_thread {
public:
    rpc_thread();
    ~rpc_thread();
    rpc_thread(const rpc_thread&) = delete;
    rpc_thread& operator=(const rpc_thread&) = delete;

    /// Runs a function on the loop and blocks until it returns; a returned promise is awaited.
    /// @return the result of the function or promise.
    /// @throws kj::Exception when the function or promise fails or the loop has ended.
    template <class Function> auto run(Function&& function)
    {
        return m_executor->executeSync(std::forward<Function>(function));
    }

    /// Queues a function for the loop and returns at once. It is dropped when the loop has ended; an
    /// exception from it is logged.
    void post(std::function<void()> function);

    /// Blocks until every function posted so far has run.
    void flush();

    // These may only be called on the loop.

    kj::Network& network() { return m_io->provider->getNetwork(); }
    kj::Timer& timer() { return m_io->provider->getTimer(); }

    /// @return the limit of the memory that all RPC messages received by this thread take together. A process
    /// has one such thread.
    incoming_messages& incoming() { return *m_incoming; }

private:
    class ignored_task_errors;
    struct posted_functions;

    void loop(std::promise<void>& ready);
    void drainPosted();

    std::unique_ptr<posted_functions> m_posted;
    kj::AsyncIoContext* m_io = nullptr;
    kj::TaskSet* m_tasks = nullptr;
    std::shared_ptr<incoming_messages> m_incoming;
    kj::Own<const kj::Executor> m_executor;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_stop;
    std::thread m_thread;
};

} // namespace plumfold::wire

#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include "plumfold_incoming_messages.hpp"

#include <kj/debug.h>

#include <deque>
#include <mutex>

namespace plumfold::wire {

class rpc_thread::ignored_task_errors : public kj::TaskSet::ErrorHandler {
public:
    void taskFailed(kj::Exception&&) override { }
};

struct rpc_thread::posted_functions {
    std::mutex mutex;
    std::deque<std::function<void()>> functions;
    kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> wake;
    bool closed = false;
};

rpc_thread::rpc_thread()
    : m_posted(std::make_unique<posted_functions>())
{
    std::promise<void> ready;
    auto isReady = ready.get_future();
    m_thread = std::thread([this, &ready] { loop(ready); });
    isReady.get();
}

rpc_thread::~rpc_thread()
{
    m_stop->fulfill();
    m_thread.join();
}

void rpc_thread::loop(std::promise<void>& ready)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    m_io = &io;
    m_incoming = std::make_shared<incoming_messages>(timer());
    ignored_task_errors errorHandler;
    kj::TaskSet tasks(errorHandler);
    m_tasks = &tasks;
    m_executor = kj::getCurrentThreadExecutor().addRef();
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    m_stop = kj::mv(stop.fulfiller);
    drainPosted();
    ready.set_value();
    stop.promise.wait(io.waitScope);
    std::lock_guard lock(m_posted->mutex);
    m_posted->closed = true;
    m_posted->functions.clear();
    m_incoming.reset(); // its timer is destroyed with the loop
}

void rpc_thread::drainPosted()
{
    std::deque<std::function<void()>> functions;
    auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
        std::lock_guard lock(m_posted->mutex);
        functions.swap(m_posted->functions);
        m_posted->wake = kj::mv(wake.fulfiller);
    }
    m_tasks->add(wake.promise.then([this] { drainPosted(); }));
    for (auto& function : functions) {
        KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { function(); })) {
            KJ_LOG(ERROR, "a posted function failed", *exception);
        }
    }
}

void rpc_thread::post(std::function<void()> function)
{
    std::lock_guard lock(m_posted->mutex);
    if (m_posted->closed)
        return;
    m_posted->functions.push_back(std::move(function));
    KJ_IF_MAYBE (wake, m_posted->wake) {
        (*wake)->fulfill();
        m_posted->wake = nullptr;
    }
}

void rpc_thread::flush()
{
    std::promise<void> done;
    post([&done] { done.set_value(); });
    done.get_future().get();
}

} // namespace plumfold::wire

#pragma once

#include "plumfold/control/plumfold_control_node.hpp"

#include <kj/async.h>

#include <memory>

namespace plumfold::control {

/// Fulfills a promise on the RPC thread with a response from the control thread.
template <class T> class kj_completion : public completion<T> {
public:
    explicit kj_completion(kj::Own<kj::CrossThreadPromiseFulfiller<T>> fulfiller)
        : m_fulfiller(kj::mv(fulfiller))
    {
    }

    ~kj_completion() noexcept override { }

    void done(T response) override { m_fulfiller->fulfill(kj::mv(response)); }

private:
    kj::Own<kj::CrossThreadPromiseFulfiller<T>> m_fulfiller;
};

/// Posts an event that has a `callback` member to a control node.
/// @return a promise for the response; it fails as overloaded if the node's queue is full.
template <class T, class Event> kj::Promise<T> postEvent(control_node& node, Event event)
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<T>();
    event.callback = std::make_unique<kj_completion<T>>(kj::mv(pair.fulfiller));
    if (!node.post(std::move(event)))
        return kj::Exception(kj::Exception::Type::OVERLOADED, __FILE__, __LINE__,
            kj::str("the control VM is overloaded: try again"));
    return kj::mv(pair.promise);
}

} // namespace plumfold::control

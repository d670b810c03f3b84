#include "plumfold_command_submitter.hpp"

#include "plumfold/wire/plumfold_convert.hpp"
#include "plumfold/wire/plumfold_entry_session.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include <optional>
#include <stdexcept>

namespace plumfold::tests {

namespace {

constexpr std::chrono::milliseconds callTimeout { 2'000 };

/// @return the result of a command; nothing if the control VM does not lead.
std::optional<core::command_result> submitTo(
    wire::rpc_thread& rpc, const std::string& address, const core::command& command)
{
    std::optional<core::command_result> out;
    rpc.run([&] {
        return wire::rpc_connection::connect(rpc, address, callTimeout)
            .then([&](kj::Own<wire::rpc_connection> connection) {
                auto session = wire::openEntrySession(*connection, { "test", "test", "east" });
                auto request = session.submitRequest();
                wire::write(request.initCommand(), command);
                return wire::withTimeout(rpc, request.send().dropPipeline(), callTimeout)
                    .then([&out](auto&& response) {
                        if (response.getReply().getAccepted())
                            out = wire::read(response.getResult());
                    })
                    .attach(kj::mv(session), kj::mv(connection));
            })
            .catch_([](kj::Exception&&) {}); // the next control VM is asked
    });
    return out;
}

} // namespace

core::command_result submitCommand(
    const forwarding_system& system, int controls, const core::command& command)
{
    wire::rpc_thread rpc;
    std::optional<core::command_result> result;
    forwarding_system::eventually([&] {
        for (int number = 1; number <= controls && !result; ++number)
            result = submitTo(rpc, system.controlAddress(number), command);
        return result.has_value();
    });
    if (!result)
        throw std::runtime_error("no control VM accepts a command");
    return *result;
}

} // namespace plumfold::tests

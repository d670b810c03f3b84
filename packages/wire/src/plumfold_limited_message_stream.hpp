#pragma once

#include "plumfold/wire/plumfold_rpc_connection.hpp"
#include "plumfold_incoming_messages.hpp"

#include <capnp/serialize-async.h>
#include <kj/async-io.h>

#include <memory>
#include <string>

namespace plumfold::wire {

/// A stream of messages that takes memory for a message only after its announced size was admitted, and
/// records what it receives. The library's own stream takes it at once, up to 64 MB for each connection.
class limited_message_stream final : public capnp::MessageStream {
public:
    limited_message_stream(
        rpc_thread& thread, std::shared_ptr<received_bytes> received, kj::Own<kj::AsyncIoStream> stream);

    using capnp::MessageStream::tryReadMessage;
    using capnp::MessageStream::writeMessage;
    using capnp::MessageStream::writeMessages;

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fdSpace,
        capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratchSpace) override;
    kj::Promise<void> writeMessage(
        kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(
        kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override { return m_writer.getSendBufferSize(); }
    kj::Promise<void> end() override { return m_writer.end(); }

private:
    class received_message;
    using read_result = kj::Maybe<capnp::MessageReaderAndFds>;

    kj::Promise<read_result> readTable(kj::Own<received_message> message);
    kj::Promise<read_result> admit(kj::Own<received_message> message);
    kj::Promise<void> read(kj::byte* buffer, std::size_t bytes, incoming_messages::reservation* memory);
    kj::Promise<std::size_t> readPart(kj::byte* buffer, std::size_t minBytes, std::size_t maxBytes);

    rpc_thread& m_thread;
    std::shared_ptr<received_bytes> m_received;
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::AsyncIoMessageStream m_writer;
    std::string m_peer;
};

} // namespace plumfold::wire

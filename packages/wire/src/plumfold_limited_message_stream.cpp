#include "plumfold_limited_message_stream.hpp"

#include <kj/debug.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace plumfold::wire {

namespace {

constexpr std::uint64_t maxSegments = 512; // as in the library

std::string peerOf(kj::AsyncIoStream& stream)
{
    sockaddr_in address {};
    kj::uint length = sizeof(address);
    char text[INET_ADDRSTRLEN] = {};
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] {
                     stream.getpeername(reinterpret_cast<sockaddr*>(&address), &length);
                 })) {
        return "unknown";
    }
    if (address.sin_family != AF_INET || !inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text)))
        return "unknown";
    return std::string(text) + ':' + std::to_string(ntohs(address.sin_port));
}

} // namespace

/// A message whose segments share one array. It holds its reservation as long as that array.
class limited_message_stream::received_message final : public capnp::MessageReader {
public:
    explicit received_message(capnp::ReaderOptions options)
        : capnp::MessageReader(options)
        , m_table(2)
    {
    }

    kj::ArrayPtr<const capnp::word> getSegment(kj::uint id) override
    {
        return id < m_segments.size() ? m_segments[id] : nullptr;
    }

    /// @return the segment table, which begins with the number of segments less one.
    std::vector<std::uint32_t>& table() { return m_table; }
    std::uint64_t segmentCount() const { return std::uint64_t { m_table[0] } + 1; }
    std::uint64_t words() const
    {
        std::uint64_t sum = 0;
        for (std::size_t segment = 0; segment < segmentCount(); ++segment)
            sum += m_table[segment + 1];
        return sum;
    }

    /// Takes the memory.
    void allocate(kj::Own<incoming_messages::reservation> memory)
    {
        m_memory = kj::mv(memory);
        m_words = kj::heapArray<capnp::word>(words());
        const auto* begin = m_words.begin();
        for (std::size_t segment = 0; segment < segmentCount(); ++segment) {
            m_segments.push_back(kj::arrayPtr(begin, m_table[segment + 1]));
            begin += m_table[segment + 1];
        }
    }
    incoming_messages::reservation& memory() { return *m_memory; }
    kj::ArrayPtr<kj::byte> bytes() { return m_words.asPtr().asBytes(); }

private:
    kj::Own<incoming_messages::reservation> m_memory; // is destroyed after the array
    std::vector<std::uint32_t> m_table;
    kj::Array<capnp::word> m_words;
    std::vector<kj::ArrayPtr<const capnp::word>> m_segments;
};

limited_message_stream::limited_message_stream(
    rpc_thread& thread, std::shared_ptr<received_bytes> received, kj::Own<kj::AsyncIoStream> stream)
    : m_thread(thread)
    , m_received(std::move(received))
    , m_stream(kj::mv(stream))
    , m_writer(*m_stream)
    , m_peer(peerOf(*m_stream))
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> limited_message_stream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd>, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word>)
{
    auto message = kj::heap<received_message>(options);
    auto* begin = reinterpret_cast<kj::byte*>(message->table().data());
    constexpr std::size_t beginBytes = sizeof(capnp::word);
    return readPart(begin, beginBytes, beginBytes)
        .then([this, message = kj::mv(message)](std::size_t bytes) mutable -> kj::Promise<read_result> {
            if (bytes == 0)
                return read_result();
            if (bytes < beginBytes)
                return KJ_EXCEPTION(DISCONNECTED, "the connection ended within a message");
            return readTable(kj::mv(message));
        });
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> limited_message_stream::readTable(
    kj::Own<received_message> message)
{
    auto segments = message->segmentCount();
    if (segments > maxSegments)
        return KJ_EXCEPTION(FAILED, "a message has too many segments", segments);
    // The table is padded to whole words; the first word has been read.
    auto rest = static_cast<std::size_t>(segments) & ~std::size_t { 1 };
    if (rest == 0)
        return admit(kj::mv(message));
    auto& table = message->table();
    table.resize(2 + rest);
    return read(reinterpret_cast<kj::byte*>(&table[2]), rest * sizeof(table[0]), nullptr)
        .then([this, message = kj::mv(message)]() mutable { return admit(kj::mv(message)); });
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> limited_message_stream::admit(
    kj::Own<received_message> message)
{
    auto bytes = message->words() * sizeof(capnp::word);
    return m_thread.incoming()
        .announce(bytes, m_peer)
        .then([this, message = kj::mv(message)](incoming_messages::admission admission) mutable {
            message->allocate(kj::mv(admission.memory));
            auto buffer = message->bytes();
            auto* memory = &message->memory();
            auto refused = admission.refused.then([]() -> kj::Promise<read_result> {
                return kj::NEVER_DONE; // not reached
            });
            return read(buffer.begin(), buffer.size(), memory)
                .then([message = kj::mv(message)]() mutable -> read_result {
                    message->memory().complete();
                    return capnp::MessageReaderAndFds { kj::mv(message), nullptr };
                })
                .exclusiveJoin(kj::mv(refused));
        });
}

kj::Promise<void> limited_message_stream::read(
    kj::byte* buffer, std::size_t bytes, incoming_messages::reservation* memory)
{
    if (bytes == 0)
        return kj::READY_NOW;
    return readPart(buffer, 1, bytes)
        .then([this, buffer, bytes, memory](std::size_t received) -> kj::Promise<void> {
            if (received == 0)
                return KJ_EXCEPTION(DISCONNECTED, "the connection ended within a message");
            if (memory)
                memory->receive();
            return read(buffer + received, bytes - received, memory);
        });
}

kj::Promise<std::size_t> limited_message_stream::readPart(
    kj::byte* buffer, std::size_t minBytes, std::size_t maxBytes)
{
    return m_stream->tryRead(buffer, minBytes, maxBytes).then([this](std::size_t bytes) {
        m_received->count += bytes;
        m_received->latestAt = m_thread.timer().now();
        return bytes;
    });
}

kj::Promise<void> limited_message_stream::writeMessage(
    kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    return m_writer.writeMessage(fds, segments);
}

kj::Promise<void> limited_message_stream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    return m_writer.writeMessages(messages);
}

} // namespace plumfold::wire

#include "plumfold_block_service.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <kj/debug.h>

#include <optional>

namespace plumfold::store {

namespace {

using Poco::Net::HTTPResponse;

constexpr std::uint32_t maxLeaseMs = 60'000;

class store_server final : public wire::Store::Server {
public:
    explicit store_server(store_context& context)
        : m_context(context)
    {
    }

    kj::Promise<void> lease(LeaseContext call) override
    {
        auto params = call.getParams();
        requireSecret(params.getSecret());
        auto time = core::milliseconds(std::min(params.getLeaseMs(), maxLeaseMs));
        auto lease = m_context.blocks.lease(
            wire::read(params.getKey()), readChain(params.getChain()), time, runtime::now());
        auto results = call.getResults();
        results.setBlocks(lease.blocks);
        results.setBytes(lease.bytes);
        results.setTicket(lease.ticket);
        results.setBlockAddress(m_context.settings.store->blockAddress);
        return kj::READY_NOW;
    }

    kj::Promise<void> endLease(EndLeaseContext call) override
    {
        m_context.blocks.endLease(call.getParams().getTicket());
        return kj::READY_NOW;
    }

    kj::Promise<void> allocate(AllocateContext call) override
    {
        auto params = call.getParams();
        requireSecret(params.getSecret());
        auto time = core::milliseconds(std::min(params.getLeaseMs(), maxLeaseMs));
        auto lease = m_context.blocks.allocate(wire::read(params.getKey()), readChain(params.getChain()),
            params.getBlockBytes(), time, runtime::now());
        auto results = call.getResults();
        results.setFirstBlock(lease.firstBlock);
        results.setBlocks(lease.blocks);
        results.setTicket(lease.ticket);
        results.setBlockAddress(m_context.settings.store->blockAddress);
        return kj::READY_NOW;
    }

    kj::Promise<void> status(StatusContext call) override
    {
        requireSecret(call.getParams().getSecret());
        auto results = call.getResults();
        const auto& counts = m_context.blocks.counts();
        results.setBlocks(m_context.blocks.blocks());
        results.setBytes(m_context.blocks.usedBytes());
        results.setCapacityBytes(m_context.blocks.capacityBytes());
        results.setReads(counts.reads);
        results.setWrites(counts.writes);
        results.setBytesIn(counts.bytesIn);
        results.setBytesOut(counts.bytesOut);
        results.setEvictions(counts.evictions);
        return kj::READY_NOW;
    }

    kj::Promise<void> purge(PurgeContext call) override
    {
        auto params = call.getParams();
        requireSecret(params.getSecret());
        call.getResults().setBlocks(m_context.blocks.purge(params.getCustomer().cStr()));
        return kj::READY_NOW;
    }

private:
    void requireSecret(capnp::Text::Reader secret) const
    {
        KJ_REQUIRE(runtime::secretsMatch(m_context.settings.process.clusterSecret, secret.cStr()),
            "the cluster secret is wrong: give all processes the same clusterSecret");
    }

    static core::prompt_chain readChain(capnp::List<std::uint64_t>::Reader in)
    {
        core::prompt_chain chain;
        chain.reserve(in.size());
        for (std::uint64_t hash : in)
            chain.push_back(hash);
        return chain;
    }

    store_context& m_context;
};

/// Decoded path /v1/blocks/{ticket}/{index}.
struct block_path {
    core::ticket_number ticket = 0;
    std::optional<std::uint32_t> index; ///< Position in the chain; empty in a path without index.
};

std::optional<block_path> parseBlockPath(const std::string& uri)
{
    std::vector<std::string> parts = absl::StrSplit(uri, '/');
    bool isBlockPath = parts.size() >= 4 && parts.size() <= 5 && parts[1] == "v1" && parts[2] == "blocks";
    block_path path;
    if (!isBlockPath || !absl::SimpleAtoi(parts[3], &path.ticket))
        return std::nullopt;
    if (parts.size() == 4)
        return path;
    std::uint32_t index = 0;
    if (!absl::SimpleAtoi(parts[4], &index))
        return std::nullopt;
    path.index = index;
    return path;
}

class block_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit block_handler(store_context& context)
        : m_context(context)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        auto path = parseBlockPath(request.getURI());
        const std::string& method = request.getMethod();
        if (path && path->index && method == "GET")
            get(*path, response);
        else if (path && path->index && method == "PUT")
            put(*path, request, response);
        else if (path && !path->index && method == "DELETE")
            end(*path, response);
        else
            respond(response, HTTPResponse::HTTP_BAD_REQUEST, "");
    }

private:
    void get(const block_path& path, Poco::Net::HTTPServerResponse& response)
    {
        auto bytes = m_context.rpc.run(
            [&] { return m_context.blocks.read(path.ticket, *path.index, runtime::now()); });
        if (bytes.ok())
            respond(response, HTTPResponse::HTTP_OK, *bytes);
        else
            respond(response, HTTPResponse::HTTP_NOT_FOUND, std::string(bytes.status().message()));
    }

    void put(const block_path& path, Poco::Net::HTTPServerRequest& request,
        Poco::Net::HTTPServerResponse& response)
    {
        auto size = m_context.rpc.run(
            [&] { return m_context.blocks.writableBytes(path.ticket, *path.index, runtime::now()); });
        if (!size) {
            // The body is not read, so no other request can follow.
            response.setKeepAlive(false);
            respond(
                response, HTTPResponse::HTTP_CONFLICT, "no write lease for this block: allocate it again");
            return;
        }
        auto body = runtime::readBody(request.stream(), *size);
        response.setKeepAlive(body != nullptr && response.getKeepAlive());
        // Rejects a truncated body.
        bool isComplete = body && request.hasContentLength()
            && static_cast<std::size_t>(request.getContentLength64()) == body->size();
        if (!isComplete) {
            respond(response, HTTPResponse::HTTP_BAD_REQUEST, "");
            return;
        }
        auto status = m_context.rpc.run(
            [&] { return m_context.blocks.write(path.ticket, *path.index, *body, runtime::now()); });
        respond(response, status.ok() ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_CONFLICT,
            std::string(status.message()));
    }

    void end(const block_path& path, Poco::Net::HTTPServerResponse& response)
    {
        m_context.rpc.run([&] { m_context.blocks.endLease(path.ticket); });
        respond(response, HTTPResponse::HTTP_OK, "");
    }

    static void respond(
        Poco::Net::HTTPServerResponse& response, HTTPResponse::HTTPStatus status, const std::string& body)
    {
        response.setStatus(status);
        response.setContentType("application/octet-stream");
        response.setContentLength64(static_cast<Poco::Int64>(body.size()));
        response.send() << body;
    }

    store_context& m_context;
};

class block_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit block_factory(store_context& context)
        : m_context(context)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new block_handler(m_context);
    }

private:
    store_context& m_context;
};

} // namespace

wire::Store::Client makeStoreService(store_context& context)
{
    return kj::heap<store_server>(context);
}

Poco::Net::HTTPRequestHandlerFactory::Ptr makeBlockHandlers(store_context& context)
{
    return new block_factory(context);
}

} // namespace plumfold::store

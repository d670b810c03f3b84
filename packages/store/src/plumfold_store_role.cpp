#include "plumfold/store/plumfold_store_role.hpp"

#include "plumfold_block_service.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

namespace plumfold::store {

namespace {

constexpr auto expiryInterval = 200 * kj::MILLISECONDS;
constexpr int maxEngineConnections = 128;

core::block_store_options blockOptions(const runtime::settings& settings)
{
    core::block_store_options options;
    options.capacityBytes = settings.store->memoryBytes;
    options.seed = runtime::randomNumber() & 0xffffffff;
    return options;
}

runtime::http_limits engineLimits()
{
    runtime::http_limits limits;
    limits.maxConnections = maxEngineConnections;
    return limits;
}

} // namespace

class store_role::impl {
public:
    impl(const runtime::settings& settings, wire::rpc_thread& rpc)
        : m_settings(settings)
        , m_rpc(rpc)
        , m_context { m_settings, rpc, core::block_store(blockOptions(m_settings)) }
        , m_http(std::make_unique<runtime::http_listener>(
              m_settings.store->blockAddress, makeBlockHandlers(m_context), engineLimits()))
    {
        m_rpc.run([this] {
            m_tasks = kj::heap<wire::task_group>();
            m_listener = std::make_unique<wire::rpc_listener>(
                m_rpc, m_settings.store->address, makeStoreService(m_context));
            m_tasks->add(expireLoop());
        });
    }

    ~impl()
    {
        m_http.reset();
        m_rpc.run([this] {
            m_tasks = nullptr;
            m_listener.reset();
        });
    }

private:
    kj::Promise<void> expireLoop()
    {
        m_context.blocks.expire(runtime::now());
        return m_rpc.timer().afterDelay(expiryInterval).then([this] { return expireLoop(); });
    }

    runtime::settings m_settings;
    wire::rpc_thread& m_rpc;
    store_context m_context;
    std::unique_ptr<runtime::http_listener> m_http;
    kj::Own<wire::task_group> m_tasks;
    std::unique_ptr<wire::rpc_listener> m_listener;
};

store_role::store_role(const runtime::settings& settings, wire::rpc_thread& rpc)
    : m_impl(std::make_unique<impl>(settings, rpc))
{
}

store_role::~store_role() = default;

} // namespace plumfold::store

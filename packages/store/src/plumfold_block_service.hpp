#pragma once

#include "plumfold/core/plumfold_block_store.hpp"
#include "plumfold/runtime/plumfold_http.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include "plumfold.capnp.h"

namespace plumfold::store {

/// State shared by the store's call handlers. The blocks are used only on the RPC thread.
struct store_context {
    const runtime::settings& settings;
    wire::rpc_thread& rpc;
    core::block_store blocks;
};

/// @return the RPC interface for entries; it must not outlive the context.
wire::Store::Client makeStoreService(store_context& context);

/// Handles the HTTP requests of engines: `GET /v1/blocks/{ticket}/{index}` reads a leased block, `PUT` on the
/// same path writes an allocated one, `DELETE /v1/blocks/{ticket}` ends a lease.
/// @return the handler factory; it must not outlive the context.
Poco::Net::HTTPRequestHandlerFactory::Ptr makeBlockHandlers(store_context& context);

} // namespace plumfold::store

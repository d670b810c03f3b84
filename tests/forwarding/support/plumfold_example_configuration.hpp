#pragma once

#include <nlohmann/json.hpp>

namespace plumfold::tests {

/// @return a valid configuration of the platform with each member that is decoded, but `service` of routes.
inline nlohmann::json exampleConfiguration()
{
    return nlohmann::json::parse(R"({ "version": 7,
        "routes": [ { "name": "r", "host": "a.example", "path-prefix": "/a/", "kind": "streaming",
            "timeout-ms": 12000, "target-latency-ms": 1200, "target-gap-ms": 800, "priority": 2, "max-attempts": 2,
            "public": false, "sticky-sessions": true, "resumable": true,
            "traffic-split": [ { "service": "s", "weight": 90 }, { "service": "t", "weight": 10 } ] } ],
        "services": [ { "name": "s", "connection-limit": 360, "cold-start-s": 3.0, "cold-per-s": 8.9,
                "engine": { "slots": 64, "kv-capacity-tokens": 93552, "kv-token-bytes": 18432, "link-mbps": 740000.0,
                    "models": [ { "name": "m" } ] } },
            { "name": "t", "kv-store-address": "172.20.0.6:8583", "zone": "z", "kv-capacity-tokens": 102536,
                "link-mbps": 57000.0, "first_ms": 0.5 } ],
        "limits": { "max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000 },
        "tenants": [ { "name": "p", "api-keys": ["k", "l"], "priority": 1, "isolated": true } ] })");
}

} // namespace plumfold::tests

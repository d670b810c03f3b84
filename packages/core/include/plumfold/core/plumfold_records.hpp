#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace plumfold::core {

/// A team that is charged for its usage.
struct customer_record {
    std::string name;
    std::string keyHash; ///< SHA-256 of the API key, lower-case hexadecimal.
    std::uint32_t weight = 1; ///< Share in weighted fair queueing.
    std::uint32_t maxInFlight = 0; ///< Running requests on one entry.
    std::uint32_t maxQueued = 0; ///< Waiting requests on one entry.
    std::vector<std::string> models; ///< Models and services that the customer may call.
    auto operator<=>(const customer_record&) const = default;
};

/// A model that customers may call.
struct model_record {
    std::string name;
    std::uint32_t maxPromptBytes = 0;
    std::uint32_t maxTokens = 0;
    auto operator<=>(const model_record&) const = default;
};

/// An adapter on top of a model.
struct adapter_record {
    std::string name;
    std::string model;
    auto operator<=>(const adapter_record&) const = default;
};

/// The weight version in force for a model.
struct weight_version_record {
    std::string model;
    std::string version;
    auto operator<=>(const weight_version_record&) const = default;
};

/// A failure domain and whether it receives new work.
struct failure_domain_record {
    std::string name;
    bool inService = true;
    std::uint32_t maxConcurrentLoads = 1; ///< Weight loads at the same time.
    auto operator<=>(const failure_domain_record&) const = default;
};

/// What operators set about one target. Targets without a record are in service.
struct target_record {
    std::string name;
    bool inService = true;
    bool checksFencing = false; ///< Whether the target refuses orders with an old fencing number.
    auto operator<=>(const target_record&) const = default;
};

/// A plain service that plumfold routes to.
struct service_record {
    std::string name;
    bool repeatable = false; ///< Whether a call may run more than once.
    std::uint32_t timeoutMs = 30000;
    auto operator<=>(const service_record&) const = default;
};

/// One record of the configuration. The order of alternatives is the numbering of record_kind.
using record = std::variant<customer_record, model_record, adapter_record, weight_version_record,
    failure_domain_record, target_record, service_record>;

enum class record_kind : std::uint16_t {
    customer,
    model,
    adapter,
    weight_version,
    failure_domain,
    target,
    service,
};

/// Names one record of the configuration.
struct record_key {
    record_kind kind = record_kind::customer;
    std::string name;
    auto operator<=>(const record_key&) const = default;
};

/// @return the key under which a record is kept.
record_key keyOf(const record& value);

/// @return the name of a kind as operators write it, for example "failure-domain".
const char* recordKindName(record_kind kind);

/// Puts or removes one record.
using change = std::variant<record, record_key>;

/// An accepted change and the revision that it created.
struct delta {
    std::uint64_t revision = 0;
    change appliedChange;
    bool operator==(const delta&) const = default;
};

} // namespace plumfold::core

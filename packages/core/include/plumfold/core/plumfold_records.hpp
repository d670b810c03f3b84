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
    std::string keyHash; ///< SHA-256 of the API key in lower-case hexadecimal.
    std::uint32_t weight = 1; ///< Weight in weighted fair queueing.
    std::uint32_t maxInFlight = 0; ///< Limit of running requests per entry.
    std::uint32_t maxQueued = 0; ///< Limit of waiting requests per entry.
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

/// An adapter of a base model.
struct adapter_record {
    std::string name;
    std::string model;
    auto operator<=>(const adapter_record&) const = default;
};

/// The current weight version of a model.
struct weight_version_record {
    std::string model;
    std::string version;
    auto operator<=>(const weight_version_record&) const = default;
};

/// Settings of a failure domain.
struct failure_domain_record {
    std::string name;
    bool inService = true; ///< Whether it receives new requests.
    std::uint32_t maxConcurrentLoads = 1; ///< Limit of weight loads that run at the same time.
    auto operator<=>(const failure_domain_record&) const = default;
};

/// Operator settings of one target. A target without a record is in service.
struct target_record {
    std::string name;
    bool inService = true;
    bool checksFencing = false; ///< Whether the target rejects orders with a stale fencing token.
    auto operator<=>(const target_record&) const = default;
};

/// A plain request service (not an LLM) that plumfold routes to.
struct service_record {
    std::string name;
    bool repeatable = false; ///< Whether calls are idempotent and may be retried.
    std::uint32_t timeoutMs = 30000;
    auto operator<=>(const service_record&) const = default;
};

/// One record of the configuration. The alternatives are in the order of record_kind.
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

/// Identifies one record of the configuration.
struct record_key {
    record_kind kind = record_kind::customer;
    std::string name;
    auto operator<=>(const record_key&) const = default;
};

/// @return the key under which a record is stored.
record_key keyOf(const record& value);

/// @return the name of a kind on the command line, for example "failure-domain".
const char* recordKindName(record_kind kind);

/// A requested change: puts the record, or removes the record with the key.
using change = std::variant<record, record_key>;

/// An accepted change and the revision that it created.
struct delta {
    std::uint64_t revision = 0;
    change appliedChange;
    bool operator==(const delta&) const = default;
};

} // namespace plumfold::core

#pragma once

#include "plumfold/core/plumfold_records.hpp"

#include <absl/status/status.h>

#include <map>
#include <optional>

namespace plumfold::core {

/// The whole configuration at one revision. Revisions only grow.
class configuration {
public:
    configuration() = default;
    configuration(std::uint64_t revision, std::vector<record> records);

    std::uint64_t revision() const { return m_revision; }

    /// @return a digest over all records; two configurations with the same digest have the same content.
    std::uint64_t digest() const { return m_digest; }

    /// Checks what the configuration would be after a change.
    /// @return OK, or invalid_argument whose message names the remedy.
    absl::Status check(const change& requested) const;

    /// Applies an accepted change as the next revision.
    /// @pre check(requested) is OK.
    delta apply(const change& requested);

    /// Applies the delta that follows the present revision.
    /// @return false when the delta does not follow; nothing was changed then.
    bool applyDelta(const delta& next);

    const customer_record* customer(const std::string& name) const;
    /// @return the customer whose API key has the given hash, or null.
    const customer_record* customerByKeyHash(const std::string& keyHash) const;
    const model_record* model(const std::string& name) const;
    const adapter_record* adapter(const std::string& name) const;
    const weight_version_record* weightVersion(const std::string& model) const;
    const failure_domain_record* failureDomain(const std::string& name) const;
    const target_record* target(const std::string& name) const;
    const service_record* service(const std::string& name) const;

    std::vector<record> records() const;
    std::size_t size() const { return m_records.size(); }

private:
    template <class T> const T* find(record_kind kind, const std::string& name) const;
    void put(const record& value);
    void remove(const record_key& key);
    std::optional<record_key> findDependent(const record_key& key) const;

    std::uint64_t m_revision = 0;
    std::uint64_t m_digest = 0; // sum of the records' own digests, so a change costs one record
    std::map<record_key, record> m_records;
    std::map<std::string, std::string> m_customerByKeyHash;
    std::size_t m_targetRecordCount = 0; // most installations have none, and routing asks for each target
};

} // namespace plumfold::core

#pragma once

#include "plumfold/core/plumfold_records.hpp"

#include <absl/status/status.h>

#include <map>
#include <optional>

namespace plumfold::core {

/// The complete configuration at one revision. Revisions increase monotonically.
class configuration {
public:
    configuration() = default;
    configuration(std::uint64_t revision, std::vector<record> records);

    std::uint64_t revision() const { return m_revision; }

    /// @return a 64-bit digest over all records that is independent of their order. Equal digests
    /// stand for equal content.
    std::uint64_t digest() const { return m_digest; }

    /// Validates the configuration that would result from a change.
    /// @return OK, or invalid_argument with a message that says how to correct the change.
    absl::Status check(const change& requested) const;

    /// Applies a valid change as the next revision.
    /// @pre check(requested) is OK.
    /// @return the change with its new revision.
    delta apply(const change& requested);

    /// Applies the delta of the next revision.
    /// @return false, without any effect, if the delta is not the one after the current revision.
    bool applyDelta(const delta& next);

    // The lookups below return null if there is no such record.

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
    /// @return a record that refers to the given one and so prevents its removal, or nothing.
    std::optional<record_key> findDependent(const record_key& key) const;

    std::uint64_t m_revision = 0;
    std::uint64_t m_digest = 0; // sum of the record digests, so that an update hashes one record only
    std::map<record_key, record> m_records;
    std::map<std::string, std::string> m_customerByKeyHash;
    // Lets target() skip the lookup: routing calls it per target, and most installations have no target
    // records.
    std::size_t m_targetRecordCount = 0;
};

} // namespace plumfold::core

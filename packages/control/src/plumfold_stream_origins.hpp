#pragma once

#include "plumfold_software_versions.hpp"
#include "plumfold_stream_journal.hpp"

#include "plumfold/core/plumfold_stream_origin.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::control {

/// Where streams began, as entries have recorded it. Streams of a service with targets of several software
/// versions are also written to the data folder: after a loss of power, nothing else names their version.
/// Used on the RPC thread only.
class stream_origins {
public:
    /// @param folder data folder; empty: nothing is written.
    stream_origins(const software_versions& versions, const std::string& folder);

    void record(const std::vector<core::stream_record>& records);

    /// @return the origin of a stream, or nothing if it is unknown.
    std::optional<core::stream_origin> find(std::uint64_t stream) const;

private:
    struct service_state {
        core::instant checkedAt {};
        bool isWritten = false;
    };

    void write(const core::stream_record& record, core::instant now);

    const software_versions& m_versions;
    std::unique_ptr<stream_journal> m_journal; // null: nothing is written
    core::stream_origin_table m_table;
    std::map<std::string, service_state> m_services; // by name
};

} // namespace plumfold::control

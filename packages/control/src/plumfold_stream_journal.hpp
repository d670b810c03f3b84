#pragma once

#include "plumfold/core/plumfold_segment_rotation.hpp"
#include "plumfold/core/plumfold_stream_origin.hpp"
#include "plumfold/runtime/plumfold_bounded_ring.hpp"

#include <absl/status/status.h>

#include <array>
#include <string>
#include <thread>
#include <vector>

namespace plumfold::control {

/// Records of streams in the data folder of a control VM, which outlive a loss of power. They are written and
/// synced in batches on a thread of their own. A disk that is full, slow or broken costs records, not
/// streams: what is not written is known in memory only.
class stream_journal {
public:
    /// Reads the records that are left in the data folder and begins to write.
    explicit stream_journal(std::string folder);
    /// Writes what was appended before.
    ~stream_journal();

    /// Moves out the records that were left in the data folder. To be called once. They are kept for as long
    /// as when they were appended, since the time that has passed is not known.
    std::vector<core::stream_record> takeRecords() { return std::move(m_records); }

    /// Appends a record without waiting. It is dropped if too many wait for the disk. The first one creates
    /// the files. Called on one thread only.
    void append(core::stream_record record);

private:
    static constexpr std::size_t segments = 2;

    std::string pathOf(std::size_t segment) const;
    absl::Status open(std::size_t segment);
    void load(std::size_t segment);
    void run();
    void write(std::vector<core::stream_record> batch);
    absl::Status writeBytes(const std::string& bytes);
    bool hasFreeSpace() const;

    std::string m_folder;
    std::vector<core::stream_record> m_records;
    bool m_isDropping = false; // used by append()

    // Used on the journal's thread only, once it runs.
    core::segment_rotation m_rotation;
    std::array<int, segments> m_files { -1, -1 };
    std::array<std::size_t, segments> m_bytes { 0, 0 };
    bool m_isFailing = false;

    runtime::bounded_ring<core::stream_record> m_ring;
    std::thread m_thread;
};

} // namespace plumfold::control

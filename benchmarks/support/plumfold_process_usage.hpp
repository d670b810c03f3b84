#pragma once

namespace plumfold::benchmarks {

/// @param pid process id.
/// @return user and system CPU time of a process in seconds, from /proc.
double cpuSeconds(int pid);

/// @param pid process id.
/// @return resident memory of a process in MiB, from /proc.
double residentMegabytes(int pid);

} // namespace plumfold::benchmarks

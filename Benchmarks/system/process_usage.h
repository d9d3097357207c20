#pragma once

#include <sys/types.h>

namespace crocusdoor::benchmark {

/// Processor time since the start of a process and its present resident memory.
struct process_usage {
  double cpu_s = 0;        ///< Processor time in seconds.
  double resident_mb = 0;  ///< Resident memory in megabytes.
};

/// Reads the usage of a process from /proc.
[[nodiscard]] process_usage read_usage(pid_t process);

}  // namespace crocusdoor::benchmark

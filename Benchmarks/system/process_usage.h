#pragma once

#include <sys/types.h>

namespace crocusdoor::benchmark {

/// What one process has used so far.
struct process_usage {
  double cpu_s = 0;        ///< Processor time in seconds.
  double resident_mb = 0;  ///< Resident memory in megabytes.
};

[[nodiscard]] process_usage read_usage(pid_t process);

}  // namespace crocusdoor::benchmark

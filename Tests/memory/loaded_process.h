#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "child_process.h"
#include "surroundings.h"

namespace crocusdoor::test {

/// Memory and descriptors of a process, from /proc.
struct process_usage {
  std::size_t resident_bytes = 0;       ///< VmRSS.
  std::size_t peak_resident_bytes = 0;  ///< VmHWM.
  std::size_t descriptors = 0;
};

/// What a process may use, as its settings and the system tell it.
struct process_limits {
  int memory_mb = 0;
  std::size_t descriptors = 0;  ///< Soft limit of the process; 0 keeps that of the test.
  std::size_t body_bytes = http_body_limit_bytes;  ///< In the configuration.
};

/// A sidecar that a test loads, with its store and its target. It is ready after construction.
class loaded_process {
 public:
  loaded_process(int memory_mb, target_pattern pattern);
  loaded_process(process_limits limits, target_pattern pattern);

  [[nodiscard]] const sidecar_ports& ports() const noexcept { return ports_; }
  [[nodiscard]] bool alive() { return !process_->has_ended(); }
  [[nodiscard]] process_usage usage() const;
  /// Bytes that callers have sent and that the process has not read, from /proc/net/tcp.
  [[nodiscard]] std::size_t unread_bytes() const;
  /// Whether the process waits for events at this moment, and does not use the processor.
  [[nodiscard]] bool asleep() const;
  /// Sends an ordinary request, again for a bounded time while it is refused. Returns whether the
  /// target has answered it.
  [[nodiscard]] bool serves();
  /// Sends one request to a caller's connection of its own and returns the head of the response.
  [[nodiscard]] std::string exchange(const std::string& request) const;
  /// The same on another listening socket of the process.
  [[nodiscard]] static std::string exchange(std::uint16_t port, const std::string& request);
  [[nodiscard]] const std::string& log_file() const noexcept { return log_file_; }

 private:
  [[nodiscard]] std::string write_settings(const process_limits& limits) const;

  sidecar_ports ports_;
  std::string directory_;
  std::string log_file_;
  std::unique_ptr<surroundings> surroundings_;
  std::unique_ptr<child_process> process_;
};

/// Head of a request of an ordinary caller; `fields` are further header lines.
[[nodiscard]] std::string request_head(const std::string& method, const std::string& fields = {});

}  // namespace crocusdoor::test

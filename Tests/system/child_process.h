#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace crocusdoor::test {

/// A program started by a test; it is killed when the object is destroyed.
class child_process {
 public:
  /// Standard output and error go to `log_file`.
  child_process(const std::vector<std::string>& command, const std::string& log_file);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Sends a signal; does nothing once the process has ended.
  void send_signal(int signal_number);
  /// Ends the process at once, as a crash would.
  void kill();
  /// Identifier of the process; -1 once it has ended.
  [[nodiscard]] pid_t id() const noexcept { return process_; }
  /// Whether the process has ended by itself.
  [[nodiscard]] bool has_ended();

 private:
  pid_t process_ = -1;
};

}  // namespace crocusdoor::test

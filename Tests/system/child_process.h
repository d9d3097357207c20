#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace crocusdoor::test {

/// A program that a test starts as a process. The destructor kills it with SIGKILL.
class child_process {
 public:
  /// Appends standard output and standard error to `log_file`.
  child_process(const std::vector<std::string>& command, const std::string& log_file);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Sends a signal; does nothing once the process has ended.
  void send_signal(int signal_number);
  /// Kills the process with SIGKILL, as a crash would, and waits for its end.
  void kill();
  /// Process identifier; -1 after `kill` or once `has_ended` has returned true.
  [[nodiscard]] pid_t id() const noexcept { return process_; }
  /// Whether the process has ended. Collects its exit status.
  [[nodiscard]] bool has_ended();

 private:
  pid_t process_ = -1;
};

}  // namespace crocusdoor::test

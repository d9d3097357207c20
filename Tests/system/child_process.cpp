#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace crocusdoor::test {

child_process::child_process(const std::vector<std::string>& command, const std::string& log_file) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&process_, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + command[0]);
  }
}

child_process::~child_process() {
  kill();
}

void child_process::send_signal(int signal_number) {
  if (!has_ended()) {
    ::kill(process_, signal_number);
  }
}

void child_process::kill() {
  if (process_ > 0) {
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
  }
}

bool child_process::has_ended() {
  if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = -1;
  }
  return process_ <= 0;
}

}  // namespace crocusdoor::test

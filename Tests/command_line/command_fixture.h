#pragma once

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "command_line/command.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace crocusdoor::command_line {

/// Runs command lines against an intent API that answers from a table and records what it got.
class command_fixture {
 public:
  command_fixture()
      : server_(loop_, {"127.0.0.1", 0}, [this](const std::shared_ptr<http_exchange>& exchange) {
          const http_request& request = exchange->request();
          received.push_back(request);
          const auto found = answers.find(request.method + " " + request.target);
          exchange->respond(found == answers.end()
                                ? http_response{404, {}, R"({"message": "no such route"})"}
                                : found->second);
        }) {}

  /// Runs one command line; `out` and `err` then hold what it printed.
  int run(std::vector<std::string> arguments, const std::string& input = "") {
    arguments.insert(arguments.end(), {"--api", "127.0.0.1:" + std::to_string(server_.port())});
    return run_alone(arguments, input);
  }

  int run_alone(const std::vector<std::string>& arguments, const std::string& input = "") {
    std::istringstream in(input);
    std::ostringstream printed;
    std::ostringstream failed;
    const exit_code code = run_command_line(arguments, loop_, {in, printed, failed});
    out = printed.str();
    err = failed.str();
    return static_cast<int>(code);
  }

  void answer(const std::string& call, int status, const json& body) {
    answers[call] = {status, {}, body.dump()};
  }

  std::map<std::string, http_response> answers;  ///< By method and target.
  std::vector<http_request> received;
  std::string out;
  std::string err;

 private:
  event_loop loop_;
  http_server server_;
};

}  // namespace crocusdoor::command_line

#pragma once

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "command_line/command.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace crocusdoor::command_line {

/// Runs command lines against an intent API that takes its responses from a table and records the
/// requests.
class command_fixture {
 public:
  command_fixture()
      : server_(loop_, {"127.0.0.1", 0}, [this](const std::shared_ptr<http_exchange>& exchange) {
          const http_request& request = exchange->request();
          requests.push_back(request);
          const auto found = responses.find(request.method + " " + request.target);
          exchange->respond(found == responses.end()
                                ? http_response{404, {}, R"({"message": "no such route"})"}
                                : found->second);
        }) {}

  /// Runs one command line and stores its output in `out` and `err`.
  int run(std::vector<std::string> arguments, const std::string& input = "") {
    arguments.insert(arguments.end(), {"--api", "127.0.0.1:" + std::to_string(server_.port())});
    return run_without_api_option(arguments, input);
  }

  /// The same without the option --api, which `run` adds.
  int run_without_api_option(const std::vector<std::string>& arguments,
                             const std::string& input = "") {
    std::istringstream in(input);
    std::ostringstream standard_output;
    std::ostringstream error_output;
    const exit_code code = run_command_line(arguments, loop_, {in, standard_output, error_output});
    out = standard_output.str();
    err = error_output.str();
    return static_cast<int>(code);
  }

  /// Sets the response to a request, which is given as "METHOD TARGET".
  void set_response(const std::string& call, int status, const json& body) {
    responses[call] = {status, {}, body.dump()};
  }

  std::map<std::string, http_response> responses;  ///< By method and target; 404 for others.
  std::vector<http_request> requests;
  std::string out;
  std::string err;

 private:
  event_loop loop_;
  http_server server_;
};

}  // namespace crocusdoor::command_line

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/error.h"
#include "core/record_codec.h"
#include "transport/http_server.h"

namespace crocusdoor {

/// Query parameters of a request target, percent-decoded.
[[nodiscard]] std::map<std::string, std::string> query_parameters(const std::string& target);

/// Path of a request target without its query.
[[nodiscard]] std::string path_of(const std::string& target);

/// Responds with a JSON document.
void respond_json(http_exchange& exchange, int status, const json& document);

/// Responds with an error document: `{"code", "message", "problems": [{"path", "message"}]}`.
void respond_error(http_exchange& exchange, int status, const std::string& code,
                   const std::string& message, const std::vector<decode_problem>& problems = {});

/// Responds with an error document and the HTTP status for the code of a failure.
void respond_failure(http_exchange& exchange, const failure& error);

/// Passes each request of the API to the handler of its method and path.
class api_router {
 public:
  using handler = std::function<void(const std::shared_ptr<http_exchange>&)>;

  void add(const std::string& method, const std::string& path, handler request_handler);
  /// Responds with 404 to an unknown path and with 405 to a method that the path does not support.
  void dispatch(const std::shared_ptr<http_exchange>& exchange) const;

 private:
  std::map<std::string, std::map<std::string, handler>> handlers_;
};

}  // namespace crocusdoor

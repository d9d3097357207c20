#include "daemon/api_router.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>

namespace crocusdoor {

namespace {

int status_of(error_code code) {
  switch (code) {
    case error_code::malformed:
    case error_code::invalid:
      return 400;
    case error_code::conflict:
    case error_code::stale:
      return 409;
    case error_code::not_found:
      return 404;
    case error_code::over_limit:
      return 413;
    case error_code::unavailable:
      return 503;
  }
  return 500;
}

}  // namespace

std::map<std::string, std::string> query_parameters(const std::string& target) {
  std::map<std::string, std::string> parameters;
  const std::size_t start = target.find('?');
  if (start == std::string::npos) {
    return parameters;
  }
  evkeyvalq parsed{};
  if (evhttp_parse_query_str(target.c_str() + start + 1, &parsed) == 0) {
    for (evkeyval* parameter = parsed.tqh_first; parameter != nullptr;
         parameter = parameter->next.tqe_next) {
      parameters[parameter->key] = parameter->value;
    }
    evhttp_clear_headers(&parsed);
  }
  return parameters;
}

std::string path_of(const std::string& target) {
  return target.substr(0, target.find('?'));
}

void respond_json(http_exchange& exchange, int status, const json& document) {
  exchange.respond({status,
                    {{"Content-Type", "application/json"}},
                    document.dump(2, ' ', false, json::error_handler_t::replace) + "\n"});
}

void respond_error(http_exchange& exchange, int status, const std::string& code,
                   const std::string& message, const std::vector<decode_problem>& problems) {
  json document = {{"code", code}, {"message", message}, {"problems", json::array()}};
  for (const decode_problem& problem : problems) {
    document["problems"].push_back({{"path", problem.path}, {"message", problem.message}});
  }
  respond_json(exchange, status, document);
}

void respond_failure(http_exchange& exchange, const failure& error) {
  respond_error(exchange, status_of(error.code), std::string(to_string(error.code)), error.message);
}

void api_router::add(const std::string& method, const std::string& path, handler request_handler) {
  handlers_[path][method] = std::move(request_handler);
}

void api_router::dispatch(const std::shared_ptr<http_exchange>& exchange) const {
  const std::string path = path_of(exchange->request().target);
  const auto methods = handlers_.find(path);
  if (methods == handlers_.end()) {
    respond_error(*exchange, 404, "not_found", "no resource at " + path);
    return;
  }
  const auto found = methods->second.find(exchange->request().method);
  if (found == methods->second.end()) {
    respond_error(*exchange, 405, "method_not_allowed",
                  exchange->request().method + " is not accepted at " + path);
    return;
  }
  found->second(exchange);
}

}  // namespace crocusdoor

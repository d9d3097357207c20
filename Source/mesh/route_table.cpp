#include "mesh/route_table.h"

#include <algorithm>
#include <utility>

namespace crocusdoor {

namespace {

std::string lower_case(std::string_view text) {
  std::string result(text);
  std::transform(result.begin(), result.end(), result.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return result;
}

std::string_view without_port(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

route_table::route_table(mesh_configuration content, std::uint64_t key_seed)
    : content_(std::move(content)), keys_(content_, key_seed) {
  for (const mesh_route& route : content_.routes) {
    by_host_[lower_case(without_port(route.host))][route.path_prefix] = &route;
  }
  for (const mesh_service& service : content_.services) {
    services_[service.name] = &service;
  }
}

const mesh_route* route_table::find(std::string_view host, std::string_view request_target) const {
  const auto found = by_host_.find(lower_case(without_port(host)));
  if (found == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = request_target.substr(0, request_target.find('?'));
  // Path prefixes end with a slash, so only the parts of the path that end with a slash are looked
  // up.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto route = found->second.find(path.substr(0, end + 1));
    if (route != found->second.end()) {
      return route->second;
    }
  }
  return nullptr;
}

const mesh_service* route_table::service(const service_name& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace crocusdoor

#include "transport/connection_limit.h"

#include <sys/resource.h>

#include <algorithm>

namespace crocusdoor {

namespace {

/// Descriptors that are for files where the process may open thousands.
constexpr std::size_t file_descriptors = 200;
/// The part of all descriptors that files, and the connections of the process itself, may use.
constexpr std::size_t reserved_fraction = 4;
/// A further server has this fraction of all descriptors: its clients are the target, the platform
/// and operators, which need a few connections.
constexpr std::size_t other_server_fraction = 64;
constexpr std::size_t minimum_connections = 8;
/// Stands for the limit of a system that sets none.
constexpr std::size_t unlimited_descriptors = 1'000'000;

}  // namespace

std::size_t descriptor_limit(std::size_t configured) {
  rlimit limit{};
  const bool limited = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  const std::size_t of_system =
      limited ? static_cast<std::size_t>(limit.rlim_cur) : unlimited_descriptors;
  return configured == 0 ? of_system : std::min(configured, of_system);
}

server_connection_limits divide_descriptors(std::size_t descriptors,
                                            std::size_t unread_budget_bytes) {
  const std::size_t files = std::min(file_descriptors, descriptors / reserved_fraction);
  const std::size_t own = descriptors / reserved_fraction;
  // The refused connections are part of those of callers.
  const std::size_t open =
      std::min(descriptors - files - own, unread_budget_bytes / unread_limit_bytes);
  const std::size_t refused = refused_connection_limit(open);
  return {std::max(minimum_connections, open - std::min(open, refused)),
          std::max(minimum_connections, descriptors / other_server_fraction)};
}

}  // namespace crocusdoor

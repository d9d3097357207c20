#pragma once

#include <cstddef>
#include <cstdint>

namespace crocusdoor {

/// Receive buffer of a client's connection, in bytes. It is small, because the kernel may hold that
/// much for each client that is not read; a request that needs more gets a larger one.
inline constexpr int receive_buffer_bytes = 6'144;
/// Most bytes that the kernel holds unread with that buffer.
inline constexpr std::size_t unread_limit_bytes = 9'216;
/// Receive buffer of a connection with a large request, in bytes.
inline constexpr int large_receive_buffer_bytes = 65'536;

/// Numbers of connections that the servers of a process keep open.
struct server_connection_limits {
  std::size_t callers = 0;  ///< Of the server for callers.
  std::size_t others = 0;   ///< Of each further server.
  friend bool operator==(const server_connection_limits&,
                         const server_connection_limits&) = default;
};

/// Connections of a server, and what its limit on them has caused since the start.
struct connection_counts {
  std::size_t open = 0;
  std::uint64_t evicted = 0;  ///< Closed for a new connection.
  std::uint64_t refused = 0;  ///< New ones that were refused.
  friend bool operator==(const connection_counts&, const connection_counts&) = default;
};

/// Descriptors that the system lets this process open, or `configured` if that is fewer and not 0.
[[nodiscard]] std::size_t descriptor_limit(std::size_t configured);

/// Divides the descriptors of a process. A quarter of them is for the process itself: the store,
/// the target, peers and further servers. Others are for files. The unread bytes of all callers fit
/// into `unread_budget_bytes`.
[[nodiscard]] server_connection_limits divide_descriptors(std::size_t descriptors,
                                                          std::size_t unread_budget_bytes);

/// Connections above the limit that a server may have open while it refuses them.
[[nodiscard]] constexpr std::size_t refused_connection_limit(std::size_t connections) noexcept {
  constexpr std::size_t connections_per_refused = 8;
  return connections / connections_per_refused + 1;
}

}  // namespace crocusdoor

#pragma once

#include <cstddef>

namespace crocusdoor::detail {

/// Whether the peer has closed a connection or its sending side. Also detected while bytes that
/// were sent before the close are unread.
[[nodiscard]] bool peer_has_closed(int descriptor);

/// Whether a connection has failed, e.g. by a reset. Does not take the error from the socket.
[[nodiscard]] bool connection_has_failed(int descriptor);

/// Number of bytes that were written to a connection and that the peer has not acknowledged. The
/// end of the own sending side counts as one byte. Returns 0 if the system does not tell.
[[nodiscard]] std::size_t unacknowledged_bytes(int descriptor);

}  // namespace crocusdoor::detail

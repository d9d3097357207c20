#pragma once

namespace crocusdoor::detail {

/// Whether the peer has closed a connection or its sending side. Also detected while bytes that
/// were sent before the close are unread.
[[nodiscard]] bool peer_has_closed(int descriptor);

}  // namespace crocusdoor::detail

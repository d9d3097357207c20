#pragma once

namespace crocusdoor::detail {

/// Whether the other end has closed a connection, or the side on which it sends; also while bytes
/// from before the close are still unread.
[[nodiscard]] bool peer_has_closed(int descriptor);

}  // namespace crocusdoor::detail

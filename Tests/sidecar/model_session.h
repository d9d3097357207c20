#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "core/time.h"
#include "wire/message.h"

namespace crocusdoor {

/// One connection between two processes of the request model. Messages and the end of the
/// connection wait in the inbox of the receiving end until its process reads them.
struct model_session {
  /// A message, or the end of the connection, that one end has received and not read yet.
  struct arrival {
    time_point sent_at;
    std::optional<wire::message> content;  ///< Empty for the end of the connection.
  };
  using inbox = std::deque<arrival>;

  struct end {
    std::size_t process = 0;
    int start = 0;  ///< Number of the start of the process that the end belongs to.
    bool greeted = false;
    bool ended = false;
    bool read_scheduled = false;
    inbox unread;

    [[nodiscard]] bool open() const { return greeted && !ended; }
  };

  std::array<end, 2> ends;
  std::uint64_t number = 0;
  bool carries = true;  ///< Whether messages that are sent now arrive.

  [[nodiscard]] bool connects(std::size_t first, std::size_t second) const {
    return (ends[0].process == first && ends[1].process == second) ||
           (ends[0].process == second && ends[1].process == first);
  }
  [[nodiscard]] end& of(std::size_t process) { return ends.at(ends[0].process == process ? 0 : 1); }
  [[nodiscard]] end& other(std::size_t process) {
    return ends.at(ends[0].process == process ? 1 : 0);
  }
};

using session_pointer = std::shared_ptr<model_session>;

}  // namespace crocusdoor

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

/// One connection between two processes of the request model. What is sent waits in the inbox of
/// the other end until its process reads it, and so does the end of the connection.
struct model_session {
  /// What one end has received and not read yet.
  struct arrival {
    time_point sent_at;
    std::optional<wire::message> content;  ///< Nothing stands for the end of the connection.
  };
  using inbox = std::deque<arrival>;

  struct end {
    std::size_t process = 0;
    int start = 0;  ///< Which start of the process it belongs to.
    bool greeted = false;
    bool ended = false;
    bool read_scheduled = false;
    inbox unread;

    [[nodiscard]] bool open() const { return greeted && !ended; }
  };

  std::array<end, 2> ends;
  std::uint64_t number = 0;
  bool carries = true;  ///< Whether what is sent now arrives.

  [[nodiscard]] bool connects(std::size_t one, std::size_t other) const {
    return (ends[0].process == one && ends[1].process == other) ||
           (ends[0].process == other && ends[1].process == one);
  }
  [[nodiscard]] end& of(std::size_t process) { return ends.at(ends[0].process == process ? 0 : 1); }
  [[nodiscard]] end& other(std::size_t process) {
    return ends.at(ends[0].process == process ? 1 : 0);
  }
};

using session_pointer = std::shared_ptr<model_session>;

}  // namespace crocusdoor

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "core/strong_string.h"
#include "wire/message.h"

namespace crocusdoor {

/// Sends the bodies of calls that follow their calls. The daemon of the target asks for each part
/// when the target has taken the one before, so that neither daemon holds more than a part.
class body_sender {
 public:
  using part_action = std::function<void(std::string bytes, bool last)>;
  /// Reads the next part of a body, at most this many bytes, and passes it to the action.
  using source = std::function<void(std::size_t limit_bytes, part_action)>;
  using part_sender = std::function<void(const instance_name& to, const wire::body_part&)>;

  body_sender(std::uint64_t incarnation, part_sender send)
      : incarnation_(incarnation), send_(std::move(send)) {}

  /// Adds the body of a call to an instance.
  void add(wire::request_id id, const instance_name& to, source read) {
    bodies_[id] = {to, std::move(read), 0, false};
  }
  void remove(wire::request_id id) { bodies_.erase(id); }
  /// Handles a request for the next part. Requests that do not fit what has been sent are ignored.
  void requested(const instance_name& from, const wire::body_request& request);

 private:
  struct body {
    instance_name to;
    source read;
    std::uint64_t sent_bytes = 0;
    bool reading = false;  ///< Whether a part is being read.
  };

  void send_part(wire::request_id id, std::string bytes, bool last);

  std::uint64_t incarnation_;
  part_sender send_;
  std::map<wire::request_id, body> bodies_;
};

}  // namespace crocusdoor

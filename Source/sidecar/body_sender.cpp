#include "sidecar/body_sender.h"

#include <utility>

namespace crocusdoor {

namespace {

/// Largest part of a body. On a link of 7 Mbit/s short messages wait 37 ms for one.
constexpr std::size_t part_limit_bytes = 32'768;

}  // namespace

void body_sender::requested(const instance_name& from, const wire::body_request& request) {
  const auto found = bodies_.find(request.id);
  if (found == bodies_.end() || found->second.to != from || found->second.reading ||
      request.sender_incarnation != incarnation_ || request.offset != found->second.sent_bytes) {
    return;
  }
  found->second.reading = true;
  const source read = found->second.read;
  read(part_limit_bytes, [this, id = request.id](std::string bytes, bool last) {
    send_part(id, std::move(bytes), last);
  });
}

void body_sender::send_part(wire::request_id id, std::string bytes, bool last) {
  const auto found = bodies_.find(id);
  if (found == bodies_.end()) {
    return;
  }
  body& sent = found->second;
  const wire::body_part part{id, incarnation_, sent.sent_bytes, {std::move(bytes)}, last};
  sent.sent_bytes += part.bytes.bytes.size();
  sent.reading = false;
  send_(sent.to, part);
}

}  // namespace crocusdoor

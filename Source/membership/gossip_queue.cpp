#include "membership/gossip_queue.h"

#include <algorithm>

#include "core/record_codec.h"
#include "membership/record_order.h"

namespace crocusdoor {

std::size_t encoded_size(const instance_record& record) {
  return json::to_cbor(encode_value(record)).size();
}

void gossip_queue::set_links(const std::vector<instance_name>& links) {
  std::map<instance_name, link_queue> kept;
  for (const instance_name& link : links) {
    kept[link] = std::move(links_[link]);
  }
  links_ = std::move(kept);
}

void gossip_queue::push(const instance_record& changed, const instance_name& received_from) {
  const std::size_t bytes = encoded_size(changed);
  for (auto& [link, queue] : links_) {
    if (link == received_from || link == changed.name) {
      // A suspicion is also sent to the suspect instance, which cannot refute it otherwise.
      if (link == received_from || is_announced(changed.state)) {
        continue;
      }
    }
    const auto [place, inserted] = queue.order_of.try_emplace(changed.name, next_order_);
    queue.by_order[place->second] = {changed, bytes};
    next_order_ += inserted ? 1 : 0;
  }
}

void gossip_queue::known_by(const instance_name& link, const instance_record& record) {
  const auto found = links_.find(link);
  if (found == links_.end()) {
    return;
  }
  link_queue& queue = found->second;
  const auto order = queue.order_of.find(record.name);
  if (order != queue.order_of.end() && !replaces(queue.by_order.at(order->second).record, record)) {
    queue.by_order.erase(order->second);
    queue.order_of.erase(order);
  }
}

std::vector<instance_record> gossip_queue::next_batch(const instance_name& link) {
  std::vector<instance_record> batch;
  const auto found = links_.find(link);
  if (found == links_.end()) {
    return batch;
  }
  link_queue& queue = found->second;
  std::size_t bytes = 0;
  while (!queue.by_order.empty()) {
    pending& first = queue.by_order.begin()->second;
    bytes += first.bytes;
    if (!batch.empty() && bytes > limits_.bytes_per_round) {
      break;
    }
    queue.order_of.erase(first.record.name);
    batch.push_back(std::move(first.record));
    queue.by_order.erase(queue.by_order.begin());
  }
  return batch;
}

std::size_t gossip_queue::waiting() const noexcept {
  std::size_t count = 0;
  for (const auto& [link, queue] : links_) {
    count += queue.by_order.size();
  }
  return count;
}

}  // namespace crocusdoor

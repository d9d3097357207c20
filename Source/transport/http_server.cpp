#include "transport/http_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "transport/connection_limit.h"
#include "transport/http_connection.h"

namespace crocusdoor {

namespace {

/// How often the timeouts of connections are checked.
constexpr duration timeout_check_interval = std::chrono::milliseconds(200);
/// Above this many unsent bytes of all connections, those whose clients have read nothing for
/// longest are closed, so that the memory of the process is bounded.
constexpr std::size_t total_unsent_limit_bytes = 16'000'000;
/// Time between two looks at all connections for those that are of least use.
constexpr duration eviction_interval = std::chrono::milliseconds(100);
/// A request that is forwarded exists in the exchange, in the call, in the message to a peer or the
/// work of this process, and in the output to the target.
constexpr std::size_t forwarding_copies = 4;
/// The same for a header field beside its text.
constexpr std::size_t header_field_bytes = 512;
/// Responses may use half of the budget, so that requests can still be read.
constexpr std::size_t budget_per_response_limit = 2;

}  // namespace

namespace detail {

void http_server_state::check_connections() {
  const time_point now = loop.now();
  for (const auto& connection : connections) {
    connection->check_timeouts(limits, now);
  }
  std::erase_if(ending, [](const auto& connection) { return connection.expired(); });
}

namespace {

/// Orders connections by the time since their clients have read something, longest first.
bool longer_inactive(const http_server_state::connection_pointer& left,
                     const http_server_state::connection_pointer& right) {
  return left->last_active_at() < right->last_active_at();
}

}  // namespace

void http_server_state::accept(int descriptor) {
  const auto connection = std::make_shared<http_server_connection>(shared_from_this(), descriptor);
  connections.insert(connection);
  if (counts.open - ending_count > limits.connections && !evict()) {
    ++counts.refused;
    connection->refuse_for_lack_of_connections();
  }
  const std::size_t most_open = limits.connections + refused_connection_limit(limits.connections);
  while (counts.open > most_open && close_ending()) {
  }
  if (counts.open > most_open) {
    connection->close();
  }
}

/// Closes the connection that is of least use, or refuses its request. Returns false if all are
/// needed.
bool http_server_state::evict() {
  const time_point now = loop.now();
  if (eviction_order.empty() && now >= next_eviction_order) {
    order_evictions(now);
    next_eviction_order = now + eviction_interval;
  }
  while (!eviction_order.empty()) {
    const connection_pointer connection = eviction_order.front().lock();
    eviction_order.pop_front();
    if (connection != nullptr && connection->evict(now)) {
      ++counts.evicted;
      return true;
    }
  }
  return false;
}

void http_server_state::order_evictions(time_point now) {
  using standing_of = std::pair<connection_standing, connection_pointer>;
  std::vector<standing_of> order;
  for (const connection_pointer& connection : connections) {
    const connection_standing standing = connection->standing(now);
    if (standing.use != connection_use::needed) {
      order.emplace_back(standing, connection);
    }
  }
  std::sort(order.begin(), order.end(), [](const standing_of& left, const standing_of& right) {
    return is_evicted_before(left.first, right.first);
  });
  for (const auto& [standing, connection] : order) {
    eviction_order.push_back(connection);
  }
}

/// Closes the connection that has been ending for longest and of which nothing is owed to its
/// client. Returns false if there is none.
bool http_server_state::close_ending() {
  for (const std::weak_ptr<http_server_connection>& weak : ending) {
    const connection_pointer connection = weak.lock();
    if (connection != nullptr && connection->is_dispensable()) {
      connection->close();
      return true;
    }
  }
  return false;
}

void http_server_state::limit_unsent_output() {
  std::vector<connection_pointer> unsent;
  std::size_t bytes = 0;
  for (const connection_pointer& connection : connections) {
    if (connection->unsent_output() > 0) {
      // The client of one that is being answered waits for the next response; its output is small.
      if (!connection->is_answering()) {
        unsent.push_back(connection);
      }
      bytes += connection->unsent_output();
    }
  }
  std::sort(unsent.begin(), unsent.end(), longer_inactive);
  const std::size_t limit = buffers == nullptr
                                ? total_unsent_limit_bytes
                                : std::min(total_unsent_limit_bytes, buffers->account()->budget() /
                                                                         budget_per_response_limit);
  for (std::size_t i = 0; i < unsent.size() && bytes > limit; ++i) {
    bytes -= unsent[i]->unsent_output();
    unsent[i]->close(delivery_failure::output_limit);
  }
}

}  // namespace detail

http_exchange::http_exchange(std::shared_ptr<detail::http_server_connection> connection,
                             http_request received_request, std::shared_ptr<buffer_account> memory)
    : connection_(std::move(connection)),
      request_(std::move(received_request)),
      charge_(std::move(memory), buffer_kind::forwarded) {
  charge_.set(forwarding_bytes(request_));
}

std::size_t http_exchange::forwarding_bytes(const http_request& request) {
  std::size_t bytes = forwarding_copies * request.body.size();
  for (const auto& [name, value] : request.headers) {
    bytes += header_field_bytes + forwarding_copies * (name.size() + value.size());
  }
  return bytes;
}

http_exchange::~http_exchange() {
  if (!responded_ && !disconnected_) {
    respond({500, {}, "no answer was produced\n"});
  }
}

void http_exchange::read_body(std::size_t limit, body_action action) {
  if (streamed_ && !responded_ && !disconnected_) {
    connection_->read_body(limit, std::move(action));
  }
}

bool http_exchange::check_connection() {
  if (!responded_ && !disconnected_ && connection_->client_has_closed()) {
    client_disconnected();
  }
  return !disconnected_;
}

void http_exchange::respond(const http_response& response) {
  if (responded_ || disconnected_) {
    return;
  }
  responded_ = true;
  disconnect_action_ = nullptr;
  connection_->send_response(request_, response, std::move(undelivered_action_));
}

void http_exchange::close() {
  if (responded_ || disconnected_) {
    return;
  }
  responded_ = true;
  disconnect_action_ = nullptr;
  connection_->close();
}

void http_exchange::client_disconnected() {
  if (responded_ || disconnected_) {
    return;
  }
  disconnected_ = true;
  const std::function<void()> action = std::move(disconnect_action_);
  if (action) {
    action();
  }
}

http_server::http_server(event_loop& loop, const ip_endpoint& local, handler on_request,
                         http_server_limits limits, std::shared_ptr<buffer_manager> buffers)
    : state_(std::make_shared<detail::http_server_state>(loop, std::move(on_request), limits,
                                                         std::move(buffers))) {
  state_->listener = std::make_unique<tcp_listener>(
      loop, local,
      [state = state_.get()](std::intptr_t accepted) { state->accept(static_cast<int>(accepted)); },
      receive_buffer_bytes);
  state_->timeout_check_timer =
      loop.every(timeout_check_interval, [state = state_.get()] { state->check_connections(); });
}

http_server::~http_server() {
  // Connections that are erased in the next iteration of the loop keep the state alive until then.
  state_->listener = nullptr;
  state_->timeout_check_timer = nullptr;
  const auto connections = state_->connections;
  for (const auto& connection : connections) {
    connection->close();
  }
  state_->connections.clear();
}

void http_server::set_limits(const http_server_limits& limits) {
  state_->limits = limits;
}

void http_server::announce_close() {
  state_->closing = true;
}

void http_server::stop_accepting() {
  if (state_->listener != nullptr) {
    state_->listener->accept_pending();
  }
  state_->listener = nullptr;
}

void http_server::close_idle() {
  for (const auto& connection : state_->connections) {
    if (connection->is_idle()) {
      connection->close();
    }
  }
}

std::size_t http_server::active() const {
  std::size_t count = 0;
  for (const auto& connection : state_->connections) {
    count += connection->is_active() ? 1 : 0;
  }
  return count;
}

unsent_responses http_server::unsent() const {
  unsent_responses result;
  for (const auto& connection : state_->connections) {
    const std::size_t bytes = connection->undelivered_bytes();
    result.connections += bytes > 0 ? 1 : 0;
    result.bytes += bytes;
  }
  return result;
}

const connection_counts& http_server::connections() const noexcept {
  return state_->counts;
}

std::uint16_t http_server::port() const noexcept {
  return state_->listener->port();
}

}  // namespace crocusdoor

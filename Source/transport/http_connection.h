#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "transport/acknowledgement_watch.h"
#include "transport/eviction_order.h"
#include "transport/http_server.h"
#include "transport/tcp_listener.h"

struct bufferevent;

namespace crocusdoor::detail {

/// What the connections of one server share.
struct http_server_state : std::enable_shared_from_this<http_server_state> {
  using connection_pointer = std::shared_ptr<http_server_connection>;

  event_loop& loop;
  http_server::handler on_request;
  http_server_limits limits;
  std::shared_ptr<buffer_manager> buffers;
  bool closing = false;
  std::set<connection_pointer> connections;
  /// Connections that have sent their last response, in the order in which they did.
  std::deque<std::weak_ptr<http_server_connection>> ending;
  std::size_t streamed_requests = 0;
  std::size_t ending_count = 0;  ///< Those of them that are open.
  connection_counts counts;
  /// Connections that may be closed for new ones, the one of least use first.
  std::deque<std::weak_ptr<http_server_connection>> eviction_order;
  time_point next_eviction_order{};
  std::unique_ptr<tcp_listener> listener;
  timer_handle timeout_check_timer;

  http_server_state(event_loop& owner, http_server::handler handler,
                    http_server_limits server_limits, std::shared_ptr<buffer_manager> manager)
      : loop(owner),
        on_request(std::move(handler)),
        limits(server_limits),
        buffers(std::move(manager)) {}

  void check_connections();
  void accept(int descriptor);
  bool evict();
  void order_evictions(time_point now);
  bool close_ending();
  void limit_unsent_output();
};

/// One connection of a client. The server's set of connections and the exchange in progress keep it
/// alive.
class http_server_connection : public request_reader,
                               public std::enable_shared_from_this<http_server_connection> {
 public:
  using undelivered_action = std::function<void(const undelivered_response&)>;

  http_server_connection(const std::shared_ptr<http_server_state>& server, int descriptor);

  ~http_server_connection() override;

  http_server_connection(const http_server_connection&) = delete;
  http_server_connection& operator=(const http_server_connection&) = delete;

  void send_response(const http_request& request, const http_response& response,
                     undelivered_action on_undelivered);

  void close(delivery_failure cause = delivery_failure::closed_by_server);

  [[nodiscard]] bool client_has_closed() const;

  /// Closes or refuses the connection if a timeout has passed.
  void check_timeouts(const http_server_limits& limits, time_point now);

  /// Of what use the connection is, from what has been read and written. `evict` checks the socket.
  [[nodiscard]] connection_standing standing(time_point now) const;
  /// Closes the connection, or refuses its request, if nothing was passed on and nothing is owed to
  /// the client. Returns whether it did.
  bool evict(time_point now);
  /// Refuses a connection whose request was not read.
  void refuse_for_lack_of_connections();
  /// Whether the last response was refused here or delivered, so that the connection may be closed.
  [[nodiscard]] bool is_dispensable();

  [[nodiscard]] bool is_idle() {
    return phase_ == phase::idle && !is_new() && !has_unread_bytes() && is_delivered();
  }
  [[nodiscard]] bool is_active();
  /// Whether the client has not read the last response and has taken nothing of it for a while.
  [[nodiscard]] bool is_stalled(time_point now);
  [[nodiscard]] bool is_answering() const noexcept { return phase_ == phase::answering; }
  [[nodiscard]] time_point last_active_at() const noexcept { return last_active_at_; }
  [[nodiscard]] std::size_t unsent_output() const;

  [[nodiscard]] incomplete_request describe() const override;
  void set_reading(bool enabled) override;
  void refuse_for_memory(memory_refusal reason) override;

  /// Provides the next part of the body of a streamed request, see `http_exchange`.
  void read_body(std::size_t limit, http_exchange::body_action action);

  /// Bytes of responses that the client has not acknowledged.
  [[nodiscard]] std::size_t undelivered_bytes() const;

 private:
  enum class phase { idle, reading, answering, lingering, closed };

  /// Whether the connection is new and still has time to send its first request.
  [[nodiscard]] bool is_new() const;

  [[nodiscard]] bool has_unread_bytes() const;

  void begin_request();

  [[nodiscard]] time_point now() const;

  /// Whether the client has acknowledged all responses, or will not because the connection has
  /// failed. Notes when it has taken a part of them.
  bool is_delivered();

  /// The loop reports no reset after the client has ended its sending side.
  [[nodiscard]] bool has_failed() const;

  /// Closes a connection without a request `unused_limit` after its last response was delivered, or
  /// earlier if the client takes nothing of that response.
  void check_unused(duration unused_limit, const http_server_limits& limits, time_point now);

  void check_reading(const http_server_limits& limits, time_point now);

  void check_answering(const http_server_limits& limits, time_point now);

  void write(const std::string& bytes);

  /// Shuts down the sending side once the output is written; the connection then lingers.
  void finish_writing();

  void end_sending();

  void refuse(int status, const http_headers& headers = {});

  /// Enlarges the receive buffer for a request that needs more, if there is room for it.
  void enlarge_buffer();

  /// Counts what is buffered now and stops reading if the memory of the process requires it.
  void update_charges();

  [[nodiscard]] std::size_t reading_bytes() const;

  /// Reads a pipelined request in a later iteration of the loop, so that many of them do not
  /// recurse deeply.
  void post_read();

  [[nodiscard]] std::size_t pending_input() const;

  void read_available();

  /// Handles the next request in `input_`. Leaves the connection in `phase::reading` if its end is
  /// missing.
  void read_request();

  void dispatch_request();

  /// Whether the body is larger than what is held of a request.
  [[nodiscard]] bool must_stream() const;

  /// Passes a request on whose body is then read in parts.
  void dispatch_stream();

  /// Reads the body of a streamed request. It is read only while a part is wanted, so that the
  /// client waits in TCP otherwise.
  void read_streamed_body();

  /// Passes a part of the body on if one is wanted and has arrived.
  void provide_body();

  /// Ends a streamed request whose body is malformed or too large.
  void fail_stream();

  void end_stream();

  [[nodiscard]] bool awaits_body() const noexcept { return streaming_ && !body_complete_; }

  /// Whether the request can be forwarded within the memory of the process.
  [[nodiscard]] bool has_room_for(const http_request& request) const;

  void report_undelivered(delivery_failure cause);

  /// Handles the end of the client's sending side. A client that has only ended that side still
  /// gets the rest of its response; writing to one that has closed the connection fails.
  void client_ended();

  void client_closed(delivery_failure cause);

  static void on_read(bufferevent*, void* context);

  static void on_write(bufferevent*, void* context);

  static void on_event(bufferevent*, short what, void* context);

  std::weak_ptr<http_server_state> server_;
  std::shared_ptr<buffer_manager> buffers_;
  buffer_charge reading_charge_;
  buffer_charge response_charge_;
  std::uint64_t request_id_ = 0;  ///< Of the incomplete request; 0 if there is none.
  bool reading_ = true;           ///< Whether the socket is being read.
  http_request_reader reader_;
  std::weak_ptr<http_exchange> exchange_;
  std::string input_;
  phase phase_ = phase::idle;
  bool keep_alive_ = true;
  bool continue_sent_ = false;
  bool discards_input_ = false;  ///< Whether input behind the current request is discarded.
  bool refused_ = false;         ///< Whether the last response is a refusal of this server.
  bool large_buffer_ = false;    ///< Whether the receive buffer has been enlarged.
  bool streaming_ = false;       ///< Whether the body of the request is read in parts.
  bool body_complete_ = false;   ///< Whether the end of a streamed body has been read.
  std::size_t wanted_body_bytes_ = 0;
  http_exchange::body_action body_action_;  ///< Set while a part of the body is wanted.
  std::size_t request_bytes_ = 0;           ///< Received of the current request.
  bool served_ = false;  ///< Whether a request of this connection has been answered.
  bool sending_ended_ = false;
  bool client_ended_ = false;        ///< Whether the client has ended its sending side.
  bool delivering_ = false;          ///< Whether the last response may not be acknowledged yet.
  std::size_t remaining_bytes_ = 0;  ///< Unacknowledged at the last check; 0 before the first one.
  acknowledgement_watch acknowledgements_;
  undelivered_action undelivered_action_;  ///< Of the last response.
  time_point request_started_at_{};
  time_point last_active_at_{};
  bufferevent* stream_;
};

}  // namespace crocusdoor::detail

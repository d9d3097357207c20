#include "transport/websocket_session.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace crocusdoor {

namespace {

using client_endpoint = websocketpp::client<websocketpp::config::core_client>;
using server_endpoint = websocketpp::server<websocketpp::config::core>;

/// URI of the handshake. Its host has no meaning, because links are addressed by their connection.
constexpr const char* handshake_uri = "ws://peer/link";

}  // namespace

namespace detail {

class websocket_state {
 public:
  virtual ~websocket_state() = default;
  virtual void start() = 0;
  virtual void receive(const char* data, std::size_t size) = 0;
  virtual void connection_lost() = 0;
  virtual bool send(const std::string& payload) = 0;
};

}  // namespace detail

namespace {

template <typename Endpoint>
class endpoint_state : public detail::websocket_state {
 public:
  endpoint_state(std::size_t message_limit_bytes, websocket_session::handlers callbacks)
      : callbacks_(std::move(callbacks)) {
    endpoint_.clear_access_channels(websocketpp::log::alevel::all);
    endpoint_.clear_error_channels(websocketpp::log::elevel::all);
    endpoint_.set_max_message_size(message_limit_bytes);
    connection_ = make_connection();
    connection_->set_write_handler(
        [this](const websocketpp::connection_hdl&, const char* data, std::size_t size) {
          callbacks_.write_bytes(data, size);
          return websocketpp::lib::error_code();
        });
    connection_->set_shutdown_handler(
        [](const websocketpp::connection_hdl&) { return websocketpp::lib::error_code(); });
    connection_->set_open_handler(
        [this](const websocketpp::connection_hdl&) { callbacks_.opened(); });
    connection_->set_message_handler(
        [this](const websocketpp::connection_hdl&, const typename Endpoint::message_ptr& message) {
          callbacks_.message(message->get_payload());
        });
    connection_->set_close_handler([this](const websocketpp::connection_hdl&) { report_closed(); });
    connection_->set_fail_handler([this](const websocketpp::connection_hdl&) { report_closed(); });
  }

  void start() override;
  void receive(const char* data, std::size_t size) override { connection_->read_all(data, size); }
  void connection_lost() override { connection_->eof(); }
  bool send(const std::string& payload) override {
    return !connection_->send(payload, websocketpp::frame::opcode::binary);
  }

 private:
  typename Endpoint::connection_ptr make_connection();

  void report_closed() { callbacks_.closed(connection_->get_ec().message()); }

  websocket_session::handlers callbacks_;
  Endpoint endpoint_;
  typename Endpoint::connection_ptr connection_;
};

template <>
server_endpoint::connection_ptr endpoint_state<server_endpoint>::make_connection() {
  return endpoint_.get_connection();
}

template <>
client_endpoint::connection_ptr endpoint_state<client_endpoint>::make_connection() {
  websocketpp::lib::error_code error;
  return endpoint_.get_connection(handshake_uri, error);
}

template <>
void endpoint_state<server_endpoint>::start() {
  connection_->start();
}

template <>
void endpoint_state<client_endpoint>::start() {
  endpoint_.connect(connection_);
}

}  // namespace

websocket_session::websocket_session(role side, std::size_t message_limit_bytes,
                                     handlers callbacks) {
  if (side == role::client) {
    state_ = std::make_unique<endpoint_state<client_endpoint>>(message_limit_bytes,
                                                               std::move(callbacks));
  } else {
    state_ = std::make_unique<endpoint_state<server_endpoint>>(message_limit_bytes,
                                                               std::move(callbacks));
  }
}

websocket_session::~websocket_session() = default;

void websocket_session::start() {
  state_->start();
}
void websocket_session::receive(const char* data, std::size_t size) {
  state_->receive(data, size);
}
void websocket_session::connection_lost() {
  state_->connection_lost();
}
bool websocket_session::send(const std::string& payload) {
  return state_->send(payload);
}

}  // namespace crocusdoor

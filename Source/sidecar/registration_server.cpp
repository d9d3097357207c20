#include "sidecar/registration_server.h"

#include <variant>

namespace crocusdoor {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;

void answer(http_exchange& exchange, int status) {
  exchange.respond({status, {{"Content-Type", "application/json"}}, "{}"});
}

}  // namespace

registration_server::registration_server(const sidecar_context& shared, inbound_gateway& gateway,
                                         entry_writer& entry)
    : shared_(shared),
      gateway_(gateway),
      entry_(entry),
      own_address_(to_string(shared.options.target.endpoint)),
      server_(
          shared.loop, shared.options.listen.registration,
          [this](const std::shared_ptr<http_exchange>& exchange) { receive(exchange); },
          http_server_limits{.connections = shared.connections.others}, shared.buffers) {}

void registration_server::receive(const std::shared_ptr<http_exchange>& exchange) {
  handle_failure(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(decoded, shared_.contract.decode_registration(exchange->request()));
        BOOST_LEAF_AUTO(departs,
                        std::visit([&](const auto& message) { return take(message); }, decoded));
        if (departs) {
          entry_.await_departures([exchange](bool stored) {
            answer(*exchange, stored ? status_ok : status_unavailable);
          });
        } else {
          answer(*exchange, status_ok);
        }
        return {};
      },
      [&](const failure& error) {
        shared_.log.warning("registration_refused",
                            {{"target", exchange->request().target}, {"reason", error.message}});
        answer(*exchange, status_bad_request);
      });
}

leaf::result<bool> registration_server::take(const target_announcement& announcement) {
  if (announcement.address != own_address_) {
    return leaf::new_error(
        failure{error_code::malformed,
                "the target beside this daemon has another address than " + announcement.address});
  }
  log_result(announcement.id, gateway_.announce(announcement));
  return announcement.draining;
}

leaf::result<bool> registration_server::take(const target_withdrawal& withdrawal) {
  log_result(withdrawal.id, gateway_.withdraw(withdrawal));
  return true;
}

void registration_server::log_result(const std::string& id, announcement_result result) const {
  if (result == announcement_result::outdated) {
    shared_.log.info("registration_outdated", {{"target", id}});
  }
}

}  // namespace crocusdoor

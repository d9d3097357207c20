#include "sidecar/registration_server.h"

#include <variant>

namespace crocusdoor {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

constexpr const char* name_of(announcement_result result) {
  switch (result) {
    case announcement_result::accepted:
      return "accepted";
    case announcement_result::repeated:
      return "repeated";
    case announcement_result::outdated:
      return "outdated";
  }
  return "";
}

}  // namespace

registration_server::registration_server(const sidecar_context& shared, inbound_gateway& gateway)
    : shared_(shared),
      gateway_(gateway),
      own_address_(to_string(shared.options.target.endpoint)),
      server_(shared.loop, shared.options.listen.registration,
              [this](const std::shared_ptr<http_exchange>& exchange) { receive(*exchange); }) {}

void registration_server::receive(http_exchange& exchange) {
  const int status = handle_failure(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(decoded, shared_.contract.decode_registration(exchange.request()));
        const announcement_result result =
            std::visit([&](const auto& message) { return take(message); }, decoded);
        if (result == announcement_result::outdated) {
          shared_.log.info("registration_outdated",
                           {{"target", exchange.request().target}, {"result", name_of(result)}});
        }
        return status_ok;
      },
      [&](const failure& error) {
        shared_.log.warning("registration_refused",
                            {{"target", exchange.request().target}, {"reason", error.message}});
        return status_bad_request;
      });
  exchange.respond({status, {{"Content-Type", "application/json"}}, "{}"});
}

announcement_result registration_server::take(const target_announcement& announcement) {
  if (announcement.address != own_address_) {
    // Sent by another process: the target beside this daemon has only one address.
    return announcement_result::outdated;
  }
  return gateway_.announce(announcement);
}

announcement_result registration_server::take(const target_withdrawal& withdrawal) {
  return gateway_.withdraw(withdrawal);
}

}  // namespace crocusdoor

#pragma once

#include <functional>
#include <tuple>
#include <utility>
#include <variant>

#include "core/strong_string.h"
#include "wire/message.h"

namespace crocusdoor {

namespace detail {

template <typename Variant>
struct handler_tuple;

template <typename... Message>
struct handler_tuple<std::variant<Message...>> {
  using type = std::tuple<std::function<void(const instance_name&, const Message&)>...>;
};

}  // namespace detail

/// Passes each received message to the handler registered for its type.
class message_dispatcher {
 public:
  template <typename Message>
  using handler = std::function<void(const instance_name& from, const Message& content)>;

  template <typename Message>
  void on(handler<Message> message_handler) {
    std::get<handler<Message>>(handlers_) = std::move(message_handler);
  }

  void dispatch(const instance_name& from, const wire::message& content) const {
    std::visit(
        [&](const auto& message) {
          using message_type = std::decay_t<decltype(message)>;
          const auto& message_handler = std::get<handler<message_type>>(handlers_);
          if (message_handler) {
            message_handler(from, message);
          }
        },
        content);
  }

 private:
  detail::handler_tuple<wire::message>::type handlers_;
};

}  // namespace crocusdoor

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

/// Passes each received message to the one handler of its kind.
class message_dispatcher {
 public:
  template <typename Message>
  using handler = std::function<void(const instance_name& from, const Message& content)>;

  template <typename Message>
  void on(handler<Message> action) {
    std::get<handler<Message>>(handlers_) = std::move(action);
  }

  void dispatch(const instance_name& from, const wire::message& content) const {
    std::visit(
        [&](const auto& one) {
          using message_type = std::decay_t<decltype(one)>;
          const auto& action = std::get<handler<message_type>>(handlers_);
          if (action) {
            action(from, one);
          }
        },
        content);
  }

 private:
  detail::handler_tuple<wire::message>::type handlers_;
};

}  // namespace crocusdoor

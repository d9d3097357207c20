#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "platform/platform_object.h"
#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/ip_endpoint.h"

namespace crocusdoor {

/// Client of the platform's object API. Each call invokes its callback exactly once. The client
/// never retries a call.
class platform_client {
 public:
  using object_callback = std::function<void(const platform_result&)>;
  using listing_callback = std::function<void(const platform_listing&)>;

  /// `timeout` applies to each call except a watch. Watches use a separate connection.
  platform_client(event_loop& loop, const ip_endpoint& remote, duration timeout, int connections);

  void read(const std::string& kind, const std::string& name, object_callback done);
  void create_if_absent(const std::string& kind, const std::string& name, std::string value,
                        const object_callback& done);
  void update_if_version(const std::string& kind, const std::string& name, object_version expected,
                         std::string value, const object_callback& done);
  /// Writes the object unconditionally, whatever its version is.
  void put(const std::string& kind, const std::string& name, std::string value,
           const object_callback& done);
  void remove(const std::string& kind, const std::string& name, const object_callback& done);
  /// Lists at most `limit` objects whose name starts with `prefix` and sorts after `after`.
  void list(const std::string& kind, const std::string& prefix, const std::string& after,
            std::size_t limit, listing_callback done);
  /// Waits up to `wait` for a version of the object other than `known`. Ends with `ok` and the
  /// object, or with `absent` if nothing changed.
  void watch(const std::string& kind, const std::string& name, object_version known, duration wait,
             object_callback done);

  /// Whether the platform responded, with a status below 500, to the call that finished last.
  [[nodiscard]] bool reachable() const noexcept { return reachable_; }
  [[nodiscard]] std::uint64_t reads() const noexcept { return reads_; }
  [[nodiscard]] std::uint64_t writes() const noexcept { return writes_; }
  [[nodiscard]] std::uint64_t watches() const noexcept { return watches_; }

 private:
  void write(http_request request, const object_callback& done);
  platform_result to_platform_result(const http_result& call_result);

  duration timeout_;
  http_client calls_;
  http_client watcher_;
  bool reachable_ = false;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t watches_ = 0;
};

}  // namespace crocusdoor

#pragma once

#include <zlib.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace crocusdoor::wire::detail {

/// Deflates and inflates single messages with a dictionary that both ends know. The zlib streams
/// are allocated once and reset for each message.
class dictionary_streams {
 public:
  /// Throws std::bad_alloc if the streams cannot be allocated.
  explicit dictionary_streams(std::string dictionary);
  ~dictionary_streams();
  dictionary_streams(const dictionary_streams&) = delete;
  dictionary_streams& operator=(const dictionary_streams&) = delete;

  [[nodiscard]] const std::string& dictionary() const noexcept { return dictionary_; }

  /// Returns nothing if the deflated text would not be shorter.
  [[nodiscard]] std::optional<std::string> deflated(std::string_view text);
  /// Returns nothing if the bytes are not deflated text of `size` bytes.
  [[nodiscard]] std::optional<std::string> inflated(std::string_view bytes, std::size_t size);

 private:
  std::string dictionary_;
  z_stream deflate_{};
  z_stream inflate_{};
};

}  // namespace crocusdoor::wire::detail

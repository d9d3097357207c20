#include "core/utf8.h"

#include <array>
#include <cstddef>

namespace crocusdoor {

namespace {

/// Accepted first and second bytes of a sequence; the second byte excludes overlong forms,
/// surrogates and code points above U+10FFFF. Further bytes are 0x80 to 0xBF.
struct sequence_form {
  unsigned first_minimum;
  unsigned first_maximum;
  unsigned second_minimum;
  unsigned second_maximum;
  std::size_t length;
};

constexpr std::array<sequence_form, 9> sequence_forms = {{
    {0x00, 0x7F, 0x00, 0x00, 1},
    {0xC2, 0xDF, 0x80, 0xBF, 2},
    {0xE0, 0xE0, 0xA0, 0xBF, 3},
    {0xE1, 0xEC, 0x80, 0xBF, 3},
    {0xED, 0xED, 0x80, 0x9F, 3},
    {0xEE, 0xEF, 0x80, 0xBF, 3},
    {0xF0, 0xF0, 0x90, 0xBF, 4},
    {0xF1, 0xF3, 0x80, 0xBF, 4},
    {0xF4, 0xF4, 0x80, 0x8F, 4},
}};

unsigned byte_at(std::string_view text, std::size_t index) {
  return static_cast<unsigned char>(text[index]);
}

bool matches(const sequence_form& form, std::string_view text) {
  const unsigned first = byte_at(text, 0);
  if (first < form.first_minimum || first > form.first_maximum || text.size() < form.length) {
    return false;
  }
  if (form.length > 1 &&
      (byte_at(text, 1) < form.second_minimum || byte_at(text, 1) > form.second_maximum)) {
    return false;
  }
  for (std::size_t i = 2; i < form.length; ++i) {
    if (byte_at(text, i) < 0x80 || byte_at(text, i) > 0xBF) {
      return false;
    }
  }
  return true;
}

/// Length of the valid sequence at the start of a non-empty text; 0 if it starts with none.
std::size_t sequence_length(std::string_view text) {
  for (const sequence_form& form : sequence_forms) {
    if (matches(form, text)) {
      return form.length;
    }
  }
  return 0;
}

}  // namespace

bool is_utf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = sequence_length(text);
    if (length == 0) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

std::string to_utf8(std::string_view text) {
  std::string result;
  result.reserve(text.size());
  while (!text.empty()) {
    const std::size_t length = sequence_length(text);
    result += length == 0 ? std::string_view("?") : text.substr(0, length);
    text.remove_prefix(length == 0 ? 1 : length);
  }
  return result;
}

}  // namespace crocusdoor

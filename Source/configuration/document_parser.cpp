#include "configuration/document_parser.h"

#include <cstdint>
#include <iterator>
#include <utility>

#include "core/utf8.h"

namespace crocusdoor {

namespace {

/// Iterator over a text that counts, for the builder, the bytes that the JSON lexer has consumed.
class counting_iterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  counting_iterator(std::string_view text, std::size_t offset, std::size_t* consumed)
      : text_(text), offset_(offset), consumed_(consumed) {}

  reference operator*() const { return text_[offset_]; }
  counting_iterator& operator++() {
    *consumed_ = ++offset_;
    return *this;
  }
  friend bool operator==(const counting_iterator& left, const counting_iterator& right) {
    return left.offset_ == right.offset_;
  }

 private:
  std::string_view text_;
  std::size_t offset_;
  std::size_t* consumed_;
};

bool is_continuation_byte(char character) {
  return (static_cast<unsigned char>(character) & 0xC0U) == 0x80U;
}

/// Converts offsets, which must not decrease from call to call, to positions.
class position_counter {
 public:
  explicit position_counter(std::string_view text) : text_(text) {}

  text_position at(std::size_t offset) {
    for (; next_ < offset && next_ < text_.size(); ++next_) {
      if (text_[next_] == '\n') {
        ++position_.line;
        position_.column = 1;
      } else if (!is_continuation_byte(text_[next_])) {
        ++position_.column;
      }
    }
    return position_;
  }

 private:
  std::string_view text_;
  std::size_t next_ = 0;
  text_position position_;
};

/// First offset at or after `offset` that is no white space, comment, comma or colon.
std::size_t skip_separators(std::string_view text, std::size_t offset) {
  while (offset < text.size()) {
    if (std::string_view(" \t\r\n,:").find(text[offset]) != std::string_view::npos) {
      ++offset;
    } else if (text.substr(offset, 2) == "//") {
      offset = std::min(text.find('\n', offset), text.size());
    } else if (text.substr(offset, 2) == "/*") {
      const std::size_t end = text.find("*/", offset + 2);
      offset = end == std::string_view::npos ? text.size() : end + 2;
    } else {
      return offset;
    }
  }
  return offset;
}

/// Message of a JSON library exception without its number and position. Characters other than
/// printable ASCII are replaced, because the message quotes input that may not be valid UTF-8.
std::string syntax_message(std::string_view text) {
  const std::size_t start = text.find(": ");
  std::string message(start == std::string_view::npos ? text : text.substr(start + 2));
  for (char& character : message) {
    const auto byte = static_cast<unsigned char>(character);
    character = byte < 0x20U || byte > 0x7EU ? '?' : character;
  }
  return message;
}

std::string with_position(const text_position& position, const std::string& pointer,
                          const std::string& message) {
  return "line " + std::to_string(position.line) + ", column " + std::to_string(position.column) +
         ", " + (pointer.empty() ? "/" : pointer) + ": " + message;
}

/// Builds the document from the events of the JSON library's parser. The parser reports each event
/// just after it has consumed the token, so the start of a token is found by skipping the
/// separators after the previous token.
class document_builder : public nlohmann::json_sax<json> {
 public:
  document_builder(std::string_view text, position_tracking tracking)
      : text_(text), tracking_(tracking), positions_(text) {
    constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
    token_end_ = text.starts_with(byte_order_mark) ? byte_order_mark.size() : 0;
  }

  bool null() override { return add_scalar(nullptr, false); }
  bool boolean(bool value) override { return add_scalar(value, false); }
  bool number_integer(number_integer_t value) override { return add_scalar(value, true); }
  bool number_unsigned(number_unsigned_t value) override { return add_scalar(value, true); }
  bool number_float(number_float_t value, const string_t& /*digits*/) override {
    return add_scalar(value, true);
  }
  bool string(string_t& value) override { return add_scalar(std::move(value), false); }
  bool binary(binary_t& /*value*/) override { return false; }
  bool start_object(std::size_t /*size*/) override { return open(json::object()); }
  bool start_array(std::size_t /*size*/) override { return open(json::array()); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }

  bool key(string_t& value) override {
    const std::size_t start = skip_separators(text_, token_end_);
    container& parent = open_containers_.back();
    parent.key = std::move(value);
    if (parent.value.contains(parent.key)) {
      report(start, child_pointer(parent.pointer, parent.key),
             "duplicate key \"" + parent.key + "\"; each key is accepted once");
    }
    token_end_ = consumed_;
    return true;
  }

  bool parse_error(std::size_t position, const std::string& /*last_token*/,
                   const nlohmann::detail::exception& error) override {
    report(position == 0 ? 0 : position - 1,
           open_containers_.empty() ? "" : open_containers_.back().pointer,
           syntax_message(error.what()));
    return false;
  }

  std::size_t* consumed() { return &consumed_; }
  [[nodiscard]] const std::string& faults() const { return faults_; }
  parsed_document take() { return std::move(result_); }

 private:
  struct container {
    json value;
    std::string pointer;
    std::string key;  ///< Key of the next member, if this is an object.
  };

  void report(std::size_t offset, const std::string& pointer, const std::string& message) {
    faults_ += faults_.empty() ? "" : "\n";
    faults_ += with_position(positions_.at(offset), pointer, message);
  }

  [[nodiscard]] std::string next_pointer() const {
    if (open_containers_.empty()) {
      return "";
    }
    const container& parent = open_containers_.back();
    return child_pointer(
        parent.pointer, parent.value.is_array() ? std::to_string(parent.value.size()) : parent.key);
  }

  void attach(json value) {
    if (open_containers_.empty()) {
      result_.value = std::move(value);
    } else if (open_containers_.back().value.is_array()) {
      open_containers_.back().value.push_back(std::move(value));
    } else {
      open_containers_.back().value[open_containers_.back().key] = std::move(value);
    }
  }

  bool add_scalar(json value, bool is_number) {
    const std::size_t start = token_end_;
    token_end_ = consumed_;
    if (tracking_ == position_tracking::kept) {
      const std::size_t value_start = skip_separators(text_, start);
      result_.positions[next_pointer()] = positions_.at(value_start);
      if (is_number) {  // The lexer has already read the character after the number.
        token_end_ =
            std::min(text_.find_first_not_of("+-.0123456789eE", value_start), text_.size());
      }
    }
    attach(std::move(value));
    return true;
  }

  bool open(json empty) {
    std::string pointer = next_pointer();
    const std::size_t start = skip_separators(text_, token_end_);
    if (tracking_ == position_tracking::kept) {
      result_.positions[pointer] = positions_.at(start);
    }
    if (open_containers_.size() == document_depth_limit) {
      report(start, pointer,
             "nested too deeply; " + std::to_string(document_depth_limit) + " levels are accepted");
      return false;
    }
    token_end_ = consumed_;
    open_containers_.push_back({std::move(empty), std::move(pointer), {}});
    return true;
  }

  bool close() {
    json value = std::move(open_containers_.back().value);
    open_containers_.pop_back();
    token_end_ = consumed_;
    attach(std::move(value));
    return true;
  }

  std::string_view text_;
  position_tracking tracking_;
  position_counter positions_;
  std::size_t consumed_ = 0;
  std::size_t token_end_ = 0;
  std::vector<container> open_containers_;
  parsed_document result_;
  std::string faults_;
};

}  // namespace

text_position parsed_document::position_of(std::string_view pointer) const {
  while (true) {
    const auto found = positions.find(std::string(pointer));
    if (found != positions.end()) {
      return found->second;
    }
    const std::size_t slash = pointer.rfind('/');
    if (slash == std::string_view::npos) {
      return {};
    }
    pointer = pointer.substr(0, slash);
  }
}

leaf::result<parsed_document> parse_document(std::string_view text, position_tracking tracking) {
  if (text.size() > document_size_limit_bytes) {
    return leaf::new_error(failure{
        error_code::over_limit, "the document has " + std::to_string(text.size()) + " bytes; " +
                                    std::to_string(document_size_limit_bytes) + " are accepted"});
  }
  document_builder builder(text, tracking);
  const bool complete =
      json::sax_parse(counting_iterator(text, 0, builder.consumed()),
                      counting_iterator(text, text.size(), builder.consumed()), &builder,
                      nlohmann::detail::input_format_t::json, true, true);
  if (!complete || !builder.faults().empty()) {
    return leaf::new_error(failure{error_code::malformed, builder.faults()});
  }
  return builder.take();
}

std::string describe_problems(const parsed_document& document,
                              const std::vector<decode_problem>& problems) {
  std::string text;
  for (const decode_problem& problem : problems) {
    text += text.empty() ? "" : "\n";
    text += with_position(document.position_of(problem.path), problem.path, problem.message);
  }
  return text;
}

std::string describe_problems(const std::vector<decode_problem>& problems) {
  std::string text;
  for (const decode_problem& problem : problems) {
    text += text.empty() ? "" : "\n";
    text += (problem.path.empty() ? "/" : problem.path) + ": " + problem.message;
  }
  return to_utf8(text);
}

}  // namespace crocusdoor

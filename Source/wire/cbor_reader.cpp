#include "wire/cbor_reader.h"

#include <string>
#include <utility>
#include <vector>

namespace crocusdoor::wire {

namespace {

/// Builds a document from the events of the CBOR reader and aborts the reader when the depth limit
/// is exceeded.
class bounded_builder : public nlohmann::json_sax<json> {
 public:
  bool null() override { return attach(nullptr); }
  bool boolean(bool value) override { return attach(value); }
  bool number_integer(number_integer_t value) override { return attach(value); }
  bool number_unsigned(number_unsigned_t value) override { return attach(value); }
  bool number_float(number_float_t value, const string_t& /*digits*/) override {
    return attach(value);
  }
  bool string(string_t& value) override { return attach(std::move(value)); }
  bool binary(binary_t& value) override { return attach(json::binary(std::move(value))); }
  bool start_object(std::size_t /*size*/) override { return open(json::object()); }
  bool start_array(std::size_t /*size*/) override { return open(json::array()); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool key(string_t& value) override {
    open_containers_.back().key = std::move(value);
    return true;
  }
  bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

  json take() { return std::move(result_); }

 private:
  struct container {
    json value;
    std::string key;
  };

  bool attach(json value) {
    if (open_containers_.empty()) {
      result_ = std::move(value);
    } else if (open_containers_.back().value.is_array()) {
      open_containers_.back().value.push_back(std::move(value));
    } else {
      open_containers_.back().value[std::move(open_containers_.back().key)] = std::move(value);
    }
    return true;
  }

  bool open(json empty) {
    if (open_containers_.size() == message_depth_limit) {
      return false;
    }
    open_containers_.push_back({std::move(empty), {}});
    return true;
  }

  bool close() {
    json value = std::move(open_containers_.back().value);
    open_containers_.pop_back();
    return attach(std::move(value));
  }

  std::vector<container> open_containers_;
  json result_;
};

}  // namespace

std::optional<json> read_cbor(std::string_view bytes) {
  bounded_builder builder;
  if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor)) {
    return std::nullopt;
  }
  return builder.take();
}

}  // namespace crocusdoor::wire

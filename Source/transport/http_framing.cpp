#include "transport/http_framing.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/optional.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "transport/response_status.h"

namespace crocusdoor {

namespace http = boost::beast::http;

namespace detail {

/// Body of a message in a string that grows with the bytes that have arrived. The body type of the
/// parser library reserves the announced length at once.
struct growing_body {
  using value_type = std::string;

  class reader {
   public:
    template <bool IsRequest, typename Fields>
    reader(http::header<IsRequest, Fields>&, value_type& body) : body_(body) {}

    void init(const boost::optional<std::uint64_t>& length, boost::beast::error_code& error) {
      final_size_ = static_cast<std::size_t>(length.get_value_or(0));
      error = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      const std::size_t added = boost::asio::buffer_size(buffers);
      make_room(body_.size() + added);
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return added;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    /// Doubles the capacity, but not beyond the announced length.
    void make_room(std::size_t size) {
      if (size > body_.capacity()) {
        const std::size_t doubled = 2 * body_.capacity();
        body_.reserve(std::max(size, final_size_ > 0 ? std::min(doubled, final_size_) : doubled));
      }
    }

    value_type& body_;
    std::size_t final_size_ = 0;  ///< 0 if the length is not announced.
  };
};

struct request_parser {
  http::request_parser<growing_body> parser;
};

struct response_parser {
  http::response_parser<growing_body> parser;
};

namespace {

constexpr int status_bad_request = 400;
constexpr int status_body_too_large = 413;
constexpr int status_headers_too_large = 431;
constexpr int status_not_implemented = 501;
/// Maximum number of interim responses that are skipped before a final response.
constexpr int interim_responses_limit = 16;
/// Memory of a header field beside its text: a node of each of two containers and two strings.
constexpr std::size_t header_field_bytes = 256;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

/// Passes `bytes` to a parser, which consumes from the front until it needs more, has completed the
/// headers or is done.
template <typename Parser>
boost::beast::error_code feed_parser(Parser& parser, std::string& bytes) {
  boost::beast::error_code error;
  const std::size_t used = parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
  bytes.erase(0, used);
  if (error == http::error::need_more) {
    error = {};
  }
  return error;
}

template <typename Fields>
http_headers copy_headers(const Fields& fields) {
  http_headers headers;
  for (const auto& field : fields) {
    const std::string_view value(field.value().data(), field.value().size());
    const std::string_view name(field.name_string().data(), field.name_string().size());
    const auto [found, added] = headers.emplace(name, value);
    if (!added) {
      found->second.append(", ").append(value);
    }
  }
  return headers;
}

enum class body_length_check { valid, ambiguous, unknown_coding };

/// Checks how the headers of a message define the length of its body. The parser itself would pick
/// one of several definitions and ignore transfer codings that it does not know.
template <typename Message>
body_length_check check_body_length(const Message& message) {
  const auto codings = message.count(http::field::transfer_encoding);
  if (codings + message.count(http::field::content_length) > 1) {
    return body_length_check::ambiguous;
  }
  const bool known_coding =
      codings == 0 || boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
  return known_coding ? body_length_check::valid : body_length_check::unknown_coding;
}

int refusal_status_for(const boost::beast::error_code& error) {
  if (error == http::error::header_limit) {
    return status_headers_too_large;
  }
  return error == http::error::body_limit ? status_body_too_large : status_bad_request;
}

bool has_body_by_method(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

/// Limits the unparsed bytes of an incomplete message. These are the start of its headers, of a
/// line between chunks or of its trailers, which the parser does not limit once the body has begun.
read_progress check_unparsed_size(const std::string& unparsed, std::size_t limit_bytes) {
  return unparsed.size() > limit_bytes ? read_progress::refused : read_progress::incomplete;
}

void append_headers(std::string& bytes, const http_headers& headers) {
  for (const auto& [name, value] : headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
}

}  // namespace

}  // namespace detail

http_request_reader::http_request_reader(http_size_limits limits)
    : parser_(std::make_unique<detail::request_parser>()),
      framing_limit_bytes_(limits.header_bytes) {
  parser_->parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser_->parser.body_limit(limits.body_bytes);
}

http_request_reader::~http_request_reader() = default;
http_request_reader::http_request_reader(http_request_reader&&) noexcept = default;
http_request_reader& http_request_reader::operator=(http_request_reader&&) noexcept = default;

read_progress http_request_reader::read(std::string& bytes) {
  auto& parser = parser_->parser;
  while (!parser.is_done()) {
    const bool headers_were_done = parser.is_header_done();
    const std::size_t before = bytes.size();
    const boost::beast::error_code error = detail::feed_parser(parser, bytes);
    if (error) {
      refusal_status_ = detail::refusal_status_for(error);
      return read_progress::refused;
    }
    if (parser.is_header_done() && !headers_were_done) {
      if (!accept_headers()) {
        return read_progress::refused;
      }
      parser.eager(true);
      continue;
    }
    if (!parser.is_done() && (bytes.empty() || bytes.size() == before)) {
      return detail::check_unparsed_size(bytes, framing_limit_bytes_);
    }
  }
  return read_progress::complete;
}

bool http_request_reader::accept_headers() {
  const auto& message = parser_->parser.get();
  const detail::body_length_check length_check = detail::check_body_length(message);
  // The parser would use the last of several `Host` headers.
  const bool ambiguous_host = message.count(http::field::host) != 1;
  const std::string_view target(message.target().data(), message.target().size());
  if (length_check == detail::body_length_check::ambiguous || ambiguous_host ||
      !target.starts_with('/')) {
    refusal_status_ = detail::status_bad_request;
    return false;
  }
  if (length_check == detail::body_length_check::unknown_coding) {
    refusal_status_ = detail::status_not_implemented;
    return false;
  }
  request_.method = std::string(message.method_string());
  request_.target = std::string(target);
  request_.headers = detail::copy_headers(message);
  for (const auto& [name, value] : request_.headers) {
    header_memory_ += detail::header_field_bytes + 2 * (name.size() + value.size());
  }
  return true;
}

std::size_t http_request_reader::held_bytes() const {
  return parser_->parser.get().body().capacity() + header_memory_;
}

bool http_request_reader::in_body() const noexcept {
  return parser_->parser.is_header_done() && !parser_->parser.is_done();
}

std::optional<std::uint64_t> http_request_reader::body_length() const {
  const auto length = parser_->parser.content_length();
  return length.has_value() ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::size_t http_request_reader::untaken_body_bytes() const {
  return parser_->parser.get().body().size();
}

std::string http_request_reader::take_body(std::size_t limit) {
  std::string& body = parser_->parser.get().body();
  if (body.size() <= limit) {
    return std::exchange(body, std::string());
  }
  std::string part = body.substr(0, limit);
  body.erase(0, limit);
  return part;
}

bool http_request_reader::expects_continue() const {
  return has_token(header_value(request_.headers, "Expect"), "100-continue");
}

bool http_request_reader::keep_alive() const {
  return parser_->parser.get().keep_alive();
}

http_request http_request_reader::take() {
  request_.body = std::move(parser_->parser.get().body());
  return std::move(request_);
}

http_response_reader::http_response_reader(const std::string& request_method,
                                           http_size_limits limits)
    : request_method_(request_method), limits_(limits) {
  start();
}

http_response_reader::~http_response_reader() = default;
http_response_reader::http_response_reader(http_response_reader&&) noexcept = default;
http_response_reader& http_response_reader::operator=(http_response_reader&&) noexcept = default;

void http_response_reader::start() {
  parser_ = std::make_unique<detail::response_parser>();
  parser_->parser.header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  parser_->parser.body_limit(limits_.body_bytes);
  parser_->parser.skip(request_method_ == "HEAD");
}

read_progress http_response_reader::read(std::string& bytes) {
  begun_ = begun_ || !bytes.empty();
  while (!parser_->parser.is_done()) {
    auto& parser = parser_->parser;
    const bool headers_were_done = parser.is_header_done();
    const std::size_t before = bytes.size();
    if (detail::feed_parser(parser, bytes)) {
      return read_progress::refused;
    }
    if (parser.is_header_done() && !headers_were_done) {
      const auto& message = parser.get();
      // The parser accepts every number of three digits.
      const int status = static_cast<int>(message.result_int());
      if (!is_response_status(status) ||
          detail::check_body_length(message) != detail::body_length_check::valid) {
        return read_progress::refused;
      }
      if (!is_final_status(status)) {
        if (++interim_responses_ > detail::interim_responses_limit) {
          return read_progress::refused;
        }
        start();
        continue;
      }
      response_.status = status;
      response_.headers = detail::copy_headers(message);
      parser.eager(true);
      continue;
    }
    if (!parser.is_done() && (bytes.empty() || bytes.size() == before)) {
      return detail::check_unparsed_size(bytes, limits_.header_bytes);
    }
  }
  return read_progress::complete;
}

read_progress http_response_reader::read_end() {
  auto& parser = parser_->parser;
  if (!parser.is_header_done()) {
    return read_progress::refused;
  }
  boost::beast::error_code error;
  parser.put_eof(error);
  return error || !parser.is_done() ? read_progress::refused : read_progress::complete;
}

bool http_response_reader::keep_alive() const {
  return parser_->parser.keep_alive();
}

http_response http_response_reader::take() {
  response_.body = std::move(parser_->parser.get().body());
  return std::move(response_);
}

std::string write_request(const http_request& request, const std::string& default_host) {
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  if (!request.headers.contains("Host")) {
    bytes.append("Host: ").append(default_host).append("\r\n");
  }
  detail::append_headers(bytes, request.headers);
  const bool has_length = !request.body.empty() || detail::has_body_by_method(request.method);
  const bool framed =
      request.headers.contains("Content-Length") || request.headers.contains("Transfer-Encoding");
  if (has_length && !framed) {
    bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  return bytes.append("\r\n").append(request.body);
}

std::string write_response(const http_response& response, const std::string& request_method,
                           bool keep_alive) {
  const auto status = static_cast<unsigned int>(response.status);
  std::string bytes = "HTTP/1.1 " + std::to_string(status) + " ";
  bytes.append(http::obsolete_reason(http::int_to_status(status))).append("\r\n");
  detail::append_headers(bytes, response.headers);
  const bool bodiless = response.status == detail::status_no_content ||
                        response.status == detail::status_not_modified || request_method == "HEAD";
  if (!bodiless && !response.headers.contains("Content-Length")) {
    bytes.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
  }
  if (!keep_alive && !response.headers.contains("Connection")) {
    bytes.append("Connection: close\r\n");
  }
  bytes.append("\r\n");
  return bodiless ? bytes : bytes.append(response.body);
}

}  // namespace crocusdoor

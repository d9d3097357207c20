#include "stand_ins/request_target.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <memory>

namespace crocusdoor::stand_ins {

namespace {

std::string percent_decode(const char* text) {
  size_t length = 0;
  const std::unique_ptr<char, decltype(&std::free)> raw(evhttp_uridecode(text, 0, &length),
                                                        &std::free);
  return raw == nullptr ? std::string() : std::string(raw.get(), length);
}

}  // namespace

bool parse_number(std::string_view text, std::uint64_t& number) {
  constexpr std::size_t max_digits = 18;
  const bool digits =
      std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
  if (text.empty() || text.size() > max_digits || !digits) {
    return false;
  }
  std::from_chars(text.data(), text.data() + text.size(), number);
  return true;
}

std::uint64_t request_target::number(const std::string& name, std::uint64_t fallback) const {
  std::uint64_t result = fallback;
  return parse_number(text(name), result) ? result : fallback;
}

std::string request_target::text(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

request_target parse_request_target(const std::string& target) {
  request_target result;
  const std::unique_ptr<evhttp_uri, decltype(&evhttp_uri_free)> uri(
      evhttp_uri_parse(target.c_str()), &evhttp_uri_free);
  if (uri == nullptr) {
    return result;
  }
  const char* path = evhttp_uri_get_path(uri.get());
  result.path = path == nullptr ? "" : percent_decode(path);
  const char* query = evhttp_uri_get_query(uri.get());
  evkeyvalq pairs{};
  if (query != nullptr && evhttp_parse_query_str(query, &pairs) == 0) {
    for (evkeyval* pair = pairs.tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
      result.query[pair->key] = pair->value;
    }
    evhttp_clear_headers(&pairs);
  }
  return result;
}

}  // namespace crocusdoor::stand_ins

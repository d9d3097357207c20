#include "transport/http_framing.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "invalid_status_lines.h"

namespace crocusdoor {

namespace {

/// What a reader reads from the bytes of one connection.
struct read_result {
  std::vector<http_request> requests;
  int refusal_status = 0;
  bool incomplete = false;
};

read_result read_all(std::string bytes, std::size_t piece) {
  read_result result;
  std::string pending;
  http_request_reader reader({1'000, 1'000});
  while (!bytes.empty() || !pending.empty()) {
    const bool has_more = !bytes.empty();
    pending += bytes.substr(0, piece);
    bytes.erase(0, piece);
    const read_progress progress = reader.read(pending);
    if (progress == read_progress::refused) {
      result.refusal_status = reader.refusal_status();
      return result;
    }
    if (progress == read_progress::complete) {
      result.requests.push_back(reader.take());
      reader = http_request_reader({1'000, 1'000});
    } else if (!has_more) {
      result.incomplete = true;
      return result;
    }
  }
  return result;
}

struct ambiguous_request {
  std::string description;
  std::string bytes;
};

const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

TEST_CASE("a request that two readers could frame differently is refused", "[P4][F12]") {
  const std::vector<ambiguous_request> cases = {
      {"two lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 36\r\n\r\n"},
      {"two equal lengths",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 36\r\nContent-Length: 36\r\n\r\n"},
      {"a list of lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0, 36\r\n\r\n"},
      {"a signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +36\r\n\r\n"},
      {"a length with a space before its colon",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 36\r\n\r\n"},
      {"a length and chunks",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 36\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n"},
      {"chunks and a length",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: "
       "36\r\n\r\n0\r\n\r\n"},
      {"an unknown transfer coding",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
      {"two transfer codings",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
      {"two lines of transfer codings",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n"},
      {"two hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"},
      {"no host", "GET / HTTP/1.1\r\n\r\n"},
      {"bare line feeds", "GET / HTTP/1.1\nHost: h\n\n"},
      {"a bare line feed after a header", "GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n"},
      {"a target with a space", "GET / x HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"a target without a slash", "GET x HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"a chunk size that is no number",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n"},
      {"a header name with a space", "GET / HTTP/1.1\r\nHost: h\r\nX y: z\r\n\r\n"},
  };
  for (const ambiguous_request& test_case : cases) {
    for (const std::size_t piece : {std::size_t{1}, std::size_t{4'096}}) {
      INFO(test_case.description << ", in pieces of " << piece);
      const read_result result = read_all(test_case.bytes + smuggled, piece);
      CHECK(result.requests.empty());
      CHECK(result.refusal_status >= 400);
    }
  }
}

TEST_CASE("requests of one connection are separated for every split of their bytes", "[P4]") {
  const std::string bytes =
      "POST /a/?q=1 HTTP/1.1\r\nhost: h\r\nContent-Length: 4\r\n\r\nbody"
      "PUT /b/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n"
      "Host: other\r\n\r\n"
      "GET /c/ HTTP/1.1\r\nHost: h\r\nX-List: 1\r\nX-List: 2\r\nContent-Length: 3\r\n\r\nget";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    const read_result result = read_all(bytes, piece);
    INFO("in pieces of " << piece);
    REQUIRE(result.requests.size() == 3);
    CHECK(result.requests[0].target == "/a/?q=1");
    CHECK(result.requests[0].body == "body");
    SECTION("a trailer does not replace a header") {
      CHECK(result.requests[1].body == "abcde");
      CHECK(header_value(result.requests[1].headers, "Host") == "h");
    }
    SECTION("a request whose method usually has no body may have one") {
      CHECK(result.requests[2].body == "get");
      CHECK(header_value(result.requests[2].headers, "x-list") == "1, 2");
    }
  }
}

TEST_CASE("limits on headers and bodies are enforced", "[F12]") {
  const std::string filler(2'000, 'x');
  CHECK(read_all("GET / HTTP/1.1\r\nHost: h\r\nX: " + filler + "\r\n\r\n", 4'096).refusal_status ==
        431);
  CHECK(read_all("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + filler, 4'096)
            .refusal_status == 413);
  const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(read_all(chunked + "3;" + std::string(2'000, 'x'), 100).refusal_status == 400);
  std::string trailers;
  for (int i = 0; i < 1'000; ++i) {
    trailers += "X: x\r\n";
  }
  CHECK(read_all(chunked + "0\r\n" + trailers, 100).refusal_status == 400);
}

TEST_CASE("a truncated or ambiguous response is refused", "[P4]") {
  http_response_reader reader("GET", {});
  std::string bytes;
  SECTION("a response with a length ends there; the bytes after it are not consumed") {
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200";
    CHECK(reader.read(bytes) == read_progress::complete);
    CHECK(reader.take().body == "ok");
    CHECK(bytes == "HTTP/1.1 200");
  }
  SECTION("a response without a length is complete only after an orderly close") {
    bytes = "HTTP/1.1 200 OK\r\n\r\npart";
    CHECK(reader.read(bytes) == read_progress::incomplete);
    CHECK(reader.read_end() == read_progress::complete);
    CHECK(reader.take().body == "part");
  }
  SECTION("a response that is shorter than its stated length is refused") {
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart";
    CHECK(reader.read(bytes) == read_progress::incomplete);
    CHECK(reader.read_end() == read_progress::refused);
  }
  SECTION("a chunked response without its last chunk is refused") {
    bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
    CHECK(reader.read(bytes) == read_progress::incomplete);
    CHECK(reader.read_end() == read_progress::refused);
  }
  SECTION("a response with two lengths is refused") {
    bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok";
    CHECK(reader.read(bytes) == read_progress::refused);
  }
  SECTION("bytes that are not a response are refused") {
    bytes = "\x01\x02 garbage\r\n\r\n";
    CHECK(reader.read(bytes) == read_progress::refused);
  }
  SECTION("an interim response is skipped") {
    bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    CHECK(reader.read(bytes) == read_progress::complete);
    CHECK(reader.take().status == 204);
  }
}

TEST_CASE("an accepted request is accepted again with the same body and target when forwarded",
          "[F12]") {
  constexpr int rounds = 20'000;
  const std::string seed_request =
      "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\nX-A: "
      "b\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  std::mt19937_64 random(7);
  const std::string alphabet =
      "\r\n :,;0149aAxX\t/"
      "chunkedHostContent-Length";
  for (int round = 0; round < rounds; ++round) {
    std::string bytes = seed_request;
    const auto mutations = 1 + random() % 8;
    for (std::uint64_t mutation = 0; mutation < mutations; ++mutation) {
      const std::size_t position = random() % bytes.size();
      switch (random() % 3) {
        case 0:
          bytes[position] = alphabet[random() % alphabet.size()];
          break;
        case 1:
          bytes.erase(position, 1 + random() % 24);
          break;
        default:
          bytes.insert(position, 1, alphabet[random() % alphabet.size()]);
          break;
      }
      if (bytes.empty()) {
        bytes = seed_request;
      }
    }
    const read_result read_at_once = read_all(bytes, bytes.size());
    const read_result read_bytewise = read_all(bytes, 1);
    REQUIRE(read_at_once.requests.size() == read_bytewise.requests.size());
    for (std::size_t i = 0; i < read_at_once.requests.size(); ++i) {
      const http_request& request = read_at_once.requests[i];
      CHECK(request.body == read_bytewise.requests[i].body);
      http_request forwarded = request;
      forwarded.headers = end_to_end_headers(request.headers);
      const read_result reread = read_all(write_request(forwarded, "h"), 4'096);
      REQUIRE(reread.requests.size() == 1);
      CHECK(reread.requests[0].body == request.body);
      CHECK(reread.requests[0].target == request.target);
    }
  }
}

TEST_CASE("a response with an invalid status line is refused", "[P4]") {
  // Guards against a status below 100 that counts as an interim response, so that the request waits
  // until its deadline.
  const auto read = [](std::string bytes) {
    http_response_reader reader("GET", {});
    return reader.read(bytes);
  };
  for (const std::string& line : invalid_status_lines) {
    INFO(line);
    CHECK(read(with_status_line(line)) == read_progress::refused);
  }
  for (const char* line : {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 599 High"}) {
    INFO(line);
    CHECK(read(with_status_line(line)) == read_progress::complete);
  }
  SECTION("also after an interim response") {
    CHECK(read("HTTP/1.1 100 Continue\r\n\r\n" + with_status_line("HTTP/1.1 099 Low")) ==
          read_progress::refused);
  }
  SECTION("and interim responses without end are refused as well") {
    http_response_reader reader("GET", {});
    read_progress progress = read_progress::incomplete;
    for (int i = 0; i < 100 && progress == read_progress::incomplete; ++i) {
      std::string bytes = "HTTP/1.1 102 Processing\r\n\r\n";
      progress = reader.read(bytes);
    }
    CHECK(progress == read_progress::refused);
  }
}

}  // namespace crocusdoor

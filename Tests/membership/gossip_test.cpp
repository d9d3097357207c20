#include <malloc.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>

#include "membership/gossip_queue.h"
#include "membership/topology.h"
#include "mesh_simulation.h"
#include "wire/message_codec.h"

namespace crocusdoor {

namespace {

constexpr time_point start{std::chrono::hours(1)};

struct flood_result {
  std::size_t reached = 1;
  std::size_t rounds = 0;
  double bytes_per_daemon = 0;  ///< Sent bytes on average; the received ones are as many.
};

/// Gossips one change of instance 0 over the neighbour graph of `count` daemons.
flood_result flood(std::size_t count, std::size_t domains) {
  directory known(make_record(0, domains));
  std::map<instance_name, std::size_t> index_of;
  for (std::size_t i = 0; i < count; ++i) {
    known.merge(make_record(i, domains), start);
    index_of[make_record(i, domains).name] = i;
  }
  std::vector<gossip_queue> queues(count);
  std::vector<std::vector<instance_name>> links(count);
  for (std::size_t i = 0; i < count; ++i) {
    links[i] = control_neighbours(known, make_record(i, domains));
    queues[i].set_links(links[i]);
  }
  instance_record changed = make_record(0, domains);
  changed.sequence = 1;
  changed.state = instance_state::draining;
  queues[0].push(changed);
  std::vector<bool> informed(count);
  informed[0] = true;
  flood_result result;
  for (bool active = true; active && result.rounds < 100;) {
    std::vector<std::pair<std::size_t, std::size_t>> sent;
    for (std::size_t i = 0; i < count; ++i) {
      for (const instance_name& link : links[i]) {
        for (const instance_record& record : queues[i].next_batch(link)) {
          result.bytes_per_daemon += static_cast<double>(encoded_size(record));
          sent.emplace_back(i, index_of.at(link));
        }
      }
    }
    for (const auto& [from, to] : sent) {
      queues[to].known_by(make_record(from, domains).name, changed);
      if (!informed[to]) {
        informed[to] = true;
        ++result.reached;
        queues[to].push(changed, make_record(from, domains).name);
      }
    }
    active = !sent.empty();
    result.rounds += active ? 1 : 0;
  }
  result.bytes_per_daemon /= static_cast<double>(count);
  return result;
}

double milliseconds_since(std::chrono::steady_clock::time_point begin) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin)
      .count();
}

}  // namespace

TEST_CASE("a change reaches every daemon at a cost that does not grow with their number",
          "[M2][P7]") {
  const flood_result small = flood(128, 22);
  const flood_result full = flood(6'000, 22);
  CHECK(small.reached == 128);
  CHECK(full.reached == 6'000);
  CHECK(full.rounds <= 10);  // Two seconds at five gossip rounds a second.
  CHECK(full.bytes_per_daemon < 1.2 * small.bytes_per_daemon);
  CHECK(full.bytes_per_daemon < 1'500);
  WARN("128: " << small.bytes_per_daemon << " bytes, " << small.rounds << " rounds; 6,000: "
               << full.bytes_per_daemon << " bytes, " << full.rounds << " rounds");
}

TEST_CASE("the queue limits the bytes of each batch and sends the newest record once", "[M2][F1]") {
  gossip_queue queue({.bytes_per_round = 1'000});
  const instance_name link = make_record(100).name;
  queue.set_links({link, make_record(101).name});
  for (std::size_t i = 0; i < 20; ++i) {
    queue.push(make_record(i));
  }
  instance_record newer = make_record(0);
  newer.sequence = 1;
  queue.push(newer);
  queue.known_by(link, make_record(0));
  queue.known_by(link, make_record(1));
  std::vector<instance_record> received;
  for (auto batch = queue.next_batch(link); !batch.empty(); batch = queue.next_batch(link)) {
    std::size_t bytes = 0;
    for (const instance_record& record : batch) {
      bytes += encoded_size(record);
      received.push_back(record);
    }
    CHECK(bytes <= 1'000);
  }
  CHECK(received.size() == 19);
  CHECK(received.front() == newer);
  CHECK(queue.waiting() == 20);
  queue.set_links({link});
  CHECK(queue.waiting() == 0);

  SECTION("a suspicion is sent to the suspect instance, but no record back to its sender") {
    instance_record suspect = make_record(100);
    suspect.state = instance_state::suspect;
    queue.push(suspect, make_record(1).name);
    CHECK(queue.next_batch(link).size() == 1);
    queue.push(make_record(3), link);
    CHECK(queue.next_batch(link).empty());
  }
}

TEST_CASE("memory and time of a directory of 6,000 records", "[.][measure]") {
  // Measurement to run by hand; the figures are printed, not checked.
  const auto bytes_before = mallinfo2().uordblks;
  auto known = std::make_unique<directory>(make_record(0, 22));
  auto begin = std::chrono::steady_clock::now();
  for (std::size_t i = 1; i < 6'000; ++i) {
    known->merge(make_record(i, 22), start);
  }
  WARN("first merge of 6,000: " << milliseconds_since(begin) << " ms, "
                                << (mallinfo2().uordblks - bytes_before) / 1'000 << " KB");
  std::vector<instance_record> changed;
  for (std::size_t i = 1; i < 6'000; ++i) {
    changed.push_back(make_record(i, 22));
    changed.back().sequence = 1;
  }
  begin = std::chrono::steady_clock::now();
  for (const instance_record& record : changed) {
    known->merge(record, start);
  }
  WARN("merge of a changed record: " << milliseconds_since(begin) / 6.0 << " us");
  begin = std::chrono::steady_clock::now();
  for (const instance_record& record : changed) {
    known->merge(record, start);
  }
  WARN("merge of a known record: " << milliseconds_since(begin) / 6.0 << " us");
  const auto measure = [&](const char* name, auto&& operation) {
    begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 1'000; ++i) {
      operation();
    }
    WARN(name << ": " << milliseconds_since(begin) << " us");
  };
  std::size_t sum = 0;
  measure("control_neighbours", [&] { sum += control_neighbours(*known).size(); });
  measure("shard_owner", [&] { sum += shard_owner(*known, 7).str().size(); });
  measure("watchers", [&] { sum += watchers(*known, failure_domain("domain-1")).size(); });
  measure("ready_upstreams", [&] { sum += known->ready_upstreams(make_record(6).service).size(); });
  measure("encoded_size", [&] { sum += encoded_size(known->self()); });
  measure("all", [&] { sum += known->all().size(); });
  CHECK(sum > 0);
  const auto size_of = [](wire::message content) {
    return wire::encode({1, std::move(content)}).size();
  };
  WARN("bytes: heartbeat " << size_of(wire::heartbeat{1'000, digest_of("x")}) << ", answer "
                           << size_of(wire::heartbeat_answer{1'000, digest_of("x")})
                           << ", checksums "
                           << size_of(wire::records_request{known->bucket_fingerprints()})
                           << ", directory " << size_of(wire::records{known->all()}));
}

}  // namespace crocusdoor

#include <sys/mman.h>
#include <unistd.h>

#include <array>

#include "mesh_fixture.h"

namespace crocusdoor {

namespace {

http_headers with_key(const std::string& key) {
  return {{"Authorization", "Bearer " + key}};
}

json workspace(const std::string& name, const std::vector<std::string>& keys) {
  return {{"name", name}, {"apiKeys", keys}, {"priority", 2}};
}

/// Redirects standard output, to which daemons log, into memory.
class captured_output {
 public:
  captured_output() : file_(memfd_create("log", 0)), saved_(dup(STDOUT_FILENO)) {
    dup2(file_, STDOUT_FILENO);
  }
  ~captured_output() {
    dup2(saved_, STDOUT_FILENO);
    ::close(saved_);
    ::close(file_);
  }
  captured_output(const captured_output&) = delete;
  captured_output& operator=(const captured_output&) = delete;

  [[nodiscard]] std::string text() const {
    std::string all;
    std::array<char, 4'096> part{};
    for (ssize_t count = 0;
         (count = pread(file_, part.data(), part.size(), static_cast<off_t>(all.size()))) > 0;) {
      all.append(part.data(), static_cast<std::size_t>(count));
    }
    return all;
  }

 private:
  int file_;
  int saved_;
};

}  // namespace

TEST_CASE("a request with a known key reaches the target with its workspace and without the key",
          "[sidecar]") {
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& target = mesh.add("target", "s");
  mesh.workspaces = {workspace("green", {"green-key-1"})};
  mesh.configure(1, "s");
  mesh.start();

  SECTION("the workspace replaces one that the caller has named") {
    http_headers headers = with_key("green-key-1");
    headers["X-Tenant"] = "forged";
    CHECK(mesh.call(origin, "POST", "/once/", "x", headers).response.status == 200);
    REQUIRE(target.received.size() == 1);
    CHECK(header_value(target.received[0].headers, "X-Tenant") == "green");
    CHECK_FALSE(target.received[0].headers.contains("Authorization"));
  }
  SECTION("a request without a known key does not run") {
    for (const http_headers& headers : {http_headers{}, with_key("green-key-2")}) {
      const http_result denied = mesh.call(origin, "GET", "/safe/", "", headers);
      CHECK(denied.response.status == 401);
      CHECK(header_value(denied.response.headers, "WWW-Authenticate") == "Bearer");
      CHECK(denied.response.body.find("green") == std::string::npos);
    }
    CHECK(target.received.empty());
  }
  SECTION("an open route needs no key, and no key is passed on") {
    for (const http_headers& headers :
         {http_headers{{"X-Tenant", "forged"}}, with_key("unknown"), with_key("green-key-1")}) {
      CHECK(mesh.call(origin, "GET", "/open/", "", headers).response.status == 200);
      CHECK_FALSE(target.received.back().headers.contains("Authorization"));
      CHECK(header_value(target.received.back().headers, "X-Tenant") ==
            (headers == with_key("green-key-1") ? "green" : ""));
    }
  }
  SECTION("a key that a new version adds or removes is accepted or denied") {
    mesh.workspaces = {workspace("green", {"green-key-2"})};
    mesh.configure(2, "s");
    REQUIRE(mesh.run_until([&] { return origin.daemon->configuration_version() == 2; }));
    CHECK(mesh.call(origin, "GET", "/safe/", "", with_key("green-key-1")).response.status == 401);
    CHECK(mesh.call(origin, "GET", "/safe/", "", with_key("green-key-2")).response.status == 200);
  }
}

TEST_CASE("without workspaces only the workspace that a caller names is removed", "[sidecar]") {
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "s");
  mesh.configure(1, "s");
  mesh.start();
  http_headers headers = with_key("of the target");
  headers["X-Tenant"] = "forged";
  CHECK(mesh.call(origin, "GET", "/safe/", "", headers).response.status == 200);
  REQUIRE(origin.received.size() == 1);
  CHECK(header_value(origin.received[0].headers, "Authorization") == "Bearer of the target");
  CHECK_FALSE(origin.received[0].headers.contains("X-Tenant"));
}

TEST_CASE("keys are not logged", "[sidecar]") {
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& target = mesh.add("target", "s");
  for (const auto& instance : mesh.instances) {
    instance->restart_daemon_with([](sidecar_settings& options) {
      options.log = {log_level::info, 1'000};
    });
  }
  mesh.workspaces = {workspace("green", {"green-key-1"})};
  mesh.configure(1, "s");
  std::string log;
  {
    const captured_output output;
    mesh.start();
    mesh.call(origin, "GET", "/safe/", "", with_key("green-key-1"));
    mesh.call(origin, "GET", "/safe/", "", with_key("green-key-2"));
    // The lines about a lost target contain digests of its requests.
    target.on_request = [&](const auto& exchange) {
      mesh.loop.post([exchange] { exchange->close(); });
    };
    mesh.call(origin, "POST", "/once/", "x", with_key("green-key-1"));
    log = output.text();
  }
  CHECK(log.find("request_ended") != std::string::npos);
  CHECK(log.find("target_exchange_failed") != std::string::npos);
  CHECK(log.find("key_refused") != std::string::npos);
  CHECK(log.find("green-key") == std::string::npos);
}

TEST_CASE("a daemon that cannot prove its configuration refuses keys", "[sidecar]") {
  mesh_fixture mesh;
  test_instance& origin = mesh.add("origin", "other");
  test_instance& target = mesh.add("target", "s");
  for (const auto& instance : mesh.instances) {
    instance->restart_daemon_with([](sidecar_settings& options) {
      options.bounds.fail_closed = true;
      options.bounds.revocation_ms = std::chrono::milliseconds(2'000);
    });
  }
  mesh.workspaces = {workspace("green", {"green-key-1"})};
  mesh.configure(1, "s");
  mesh.start();
  const auto status = [&](const std::string& key) {
    return mesh.call(origin, "GET", "/safe/", "", with_key(key)).response.status;
  };
  REQUIRE(mesh.run_until([&] { return origin.daemon->proves_configuration(); }));

  SECTION("an unknown key is denied after the store or a peer has been asked") {
    CHECK(status("green-key-2") == 401);
  }
  SECTION("a request whose key only the store has waits until it is read") {
    mesh.store.reachable = false;
    mesh.run_for(std::chrono::milliseconds(1'200), [] { return false; });
    mesh.workspaces = {workspace("green", {"green-key-1", "green-key-2"})};
    mesh.configure(2, "s");
    mesh.store.reachable = true;
    CHECK(status("green-key-2") == 200);
  }
  SECTION("while the store answers nobody") {
    mesh.store.reachable = false;
    CHECK(status("green-key-1") == 200);
    REQUIRE(mesh.run_until([&] { return !origin.daemon->proves_configuration(); }));
    const http_result refused = mesh.call(origin, "GET", "/safe/", "", with_key("green-key-1"));
    CHECK(refused.response.status == 503);
    CHECK(refused.response.headers.contains("Retry-After"));
    CHECK(status("green-key-2") == 503);
    CHECK(mesh.call(origin, "GET", "/open/").response.status == 200);
    CHECK(target.received.size() == 2);
  }
}

}  // namespace crocusdoor

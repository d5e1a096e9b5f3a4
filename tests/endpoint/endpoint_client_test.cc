#include "plantainhead/endpoint/endpoint_client.h"

#include <caf/all.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "loopback.h"

namespace plantainhead::endpoint {
namespace {

using namespace std::chrono_literals;
using testing::raw_connection;
using testing::raw_listener;

core::time_point Now() {
  return core::time_point(std::chrono::duration_cast<core::duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

// A link whose events the test waits for.
class client_fixture {
 public:
  explicit client_fixture(endpoint_options options = {})
      : system_(config_),
        link_(system_, options, Now, [this](core::event what) {
          const std::lock_guard<std::mutex> lock(mutex_);
          events_.push_back(std::move(what));
          changed_.notify_all();
        }) {}

  core::call_endpoint Request(std::uint16_t port, std::string method = "POST") {
    core::call_endpoint call;
    call.call = core::call_id{++calls_};
    call.host = "127.0.0.1";
    call.port = port;
    call.request = {core::incarnation{0xabc}, calls_};
    call.envelope.method = std::move(method);
    call.envelope.path = "/appeals?a=b%2F";
    call.envelope.headers = {{"Idempotency-Key", "k-1"},
                             {"Plantain-Request-Id", "the caller's own"},
                             {"Connection", "close"}};
    if (call.envelope.method == "POST") {
      call.envelope.body = std::make_shared<const std::string>("abc");
    }
    call.envelope.deadline = Now() + 20s;
    return call;
  }

  void Start(core::call_endpoint call) { link_.Call(std::move(call)); }

  core::event AwaitEvent() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] { return !events_.empty(); });
    core::event what = std::move(events_.front());
    events_.erase(events_.begin());
    return what;
  }

  core::endpoint_failed AwaitFailure() {
    const core::event what = AwaitEvent();
    REQUIRE(std::holds_alternative<core::endpoint_failed>(what));
    return std::get<core::endpoint_failed>(what);
  }

  core::endpoint_replied AwaitReply() {
    const core::event what = AwaitEvent();
    if (const auto* failed = std::get_if<core::endpoint_failed>(&what)) {
      FAIL("the call failed: " << failed->detail);
    }
    return std::get<core::endpoint_replied>(what);
  }

  std::size_t UnreadEvents() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return events_.size();
  }

  endpoint_client& link() { return link_; }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<core::event> events_;
  std::uint64_t calls_ = 0;
  caf::actor_system_config config_;
  caf::actor_system system_;
  endpoint_client link_;
};

constexpr const char* kHello =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
constexpr std::size_t kBodySize = 3;

TEST_CASE("An endpoint's whole answer is handed over") {
  client_fixture fixture;
  const raw_listener endpoint;
  fixture.Start(fixture.Request(endpoint.port()));
  const raw_connection peer = endpoint.Accept();
  const std::string request = peer.ReadMessage(kBodySize);

  SECTION("after a request that carries what the endpoint needs") {
    CHECK(request.find("POST /appeals?a=b%2F HTTP/1.1\r\n") == 0);
    CHECK(request.find("Idempotency-Key: k-1\r\n") != std::string::npos);
    CHECK(request.find("Plantain-Request-Id: 0000000000000abc-1\r\n") !=
          std::string::npos);
    CHECK(request.find("the caller's own") == std::string::npos);
    CHECK(request.find("Connection: close") == std::string::npos);
    CHECK(request.substr(request.size() - kBodySize) == "abc");
    peer.Send(kHello);
    fixture.AwaitReply();
  }

  SECTION("by its length, without headers of the connection") {
    peer.Send(
        "HTTP/1.1 201 Created\r\nContent-Length: 5\r\nX-A: 1\r\n"
        "Keep-Alive: timeout=5\r\n\r\nhello");
    const core::endpoint_replied reply = fixture.AwaitReply();
    CHECK(reply.status == 201);
    CHECK(*reply.body == "hello");
    REQUIRE(reply.headers.size() == 1);
    CHECK(reply.headers[0].first == "X-A");
  }

  SECTION("by its last chunk") {
    peer.Send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
    CHECK(*fixture.AwaitReply().body == "hello");
  }

  SECTION("with header values that are left as they are") {
    // cpp-httplib decodes %XX in them, and so would let an endpoint's data
    // put headers into the answer to a caller.
    peer.Send(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: a%0d%0aB: "
        "%41\r\nLocation: /%41\r\nContent-Length: 3\r\n\r\n%41");
    const core::endpoint_replied reply = fixture.AwaitReply();
    REQUIRE(reply.headers.size() == 2);
    CHECK(reply.headers[0].second == "/%41");
    CHECK(reply.headers[1].second == "a%0d%0aB: %41");
    CHECK(*reply.body == "%41");
  }

  SECTION("when it has no body") {
    peer.Send("HTTP/1.1 204 No Content\r\n\r\n");
    CHECK(fixture.AwaitReply().status == 204);
    fixture.Start(fixture.Request(endpoint.port(), "HEAD"));
    peer.ReadMessage();
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
    CHECK(fixture.AwaitReply().status == 200);
    fixture.Start(fixture.Request(endpoint.port(), "GET"));
    peer.ReadMessage();
    peer.Send("HTTP/1.1 304 Not Modified\r\nContent-Length: 500\r\n\r\n");
    CHECK(fixture.AwaitReply().status == 304);
  }
  CHECK(fixture.UnreadEvents() == 0);
}

TEST_CASE("An answer that isn't whole is never handed over as one") {
  // The endpoint runs the request and dies, or a proxy garbles the answer,
  // after a part of it went out. The caller must be told that nobody knows,
  // since half an appeal that looks whole is worse than none.
  client_fixture fixture;
  const raw_listener endpoint;
  fixture.Start(fixture.Request(endpoint.port()));
  raw_connection peer = endpoint.Accept();
  peer.ReadMessage(kBodySize);

  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello";

  SECTION("when the connection ends before Content-Length is met") {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello");
  }
  SECTION("when it ends within the head") {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Le");
  }
  SECTION("when it ends without a byte") {}
  SECTION("when it ends before the last chunk") {
    peer.Send(chunked + "\r\n");
  }
  SECTION("when a chunk doesn't end where its size says") {
    peer.Send(chunked + "XX\r\n0\r\n\r\n");
  }
  SECTION("when trailers follow the last chunk, which the library can't read") {
    peer.Send(chunked + "\r\n0\r\nX-Sum: 1\r\n\r\n");
  }
  SECTION("when the last chunk isn't ended") {
    peer.Send(chunked + "\r\n0\r\n");
  }
  SECTION("when only the end of the connection would end it") {
    peer.Send("HTTP/1.1 200 OK\r\n\r\nhello");
  }
  SECTION("when its length is given twice") {
    peer.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\n"
        "hello");
  }
  SECTION("when its length isn't a number") {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\nhello");
  }
  SECTION("when a header's name is none") {
    peer.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length : 3\r\n\r\n"
        "hello");
  }
  SECTION("when it isn't a final answer") {
    peer.Send("HTTP/1.1 102 Processing\r\nContent-Length: 5\r\n\r\nhello");
  }
  SECTION("when the connection is reset midway") {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello");
    peer.ResetOnClose();
  }
  peer.Close();
  CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kMaybeSent);
  fixture.link().Stop();
  CHECK(fixture.UnreadEvents() == 0);
}

TEST_CASE("A request is sent once, whatever becomes of its connection") {
  // A kept connection ends just as the next request goes out on it. A client
  // that sends the request again by itself makes an appeal be logged twice.
  client_fixture fixture;
  raw_listener endpoint;
  fixture.Start(fixture.Request(endpoint.port()));
  raw_connection peer = endpoint.Accept();
  peer.ReadMessage(kBodySize);
  peer.Send(kHello);
  fixture.AwaitReply();
  fixture.Start(fixture.Request(endpoint.port()));

  SECTION("when the endpoint reads it and closes") {
    REQUIRE(peer.ReadMessage(kBodySize).find("POST") == 0);
    peer.Close();
  }
  SECTION("when the endpoint reads it and resets the connection") {
    REQUIRE(peer.ReadMessage(kBodySize).find("POST") == 0);
    peer.ResetOnClose();
    peer.Close();
  }
  CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kMaybeSent);
  // Had it been sent again, it would wait in the listener's queue now.
  fixture.Start(fixture.Request(endpoint.port(), "GET"));
  const raw_connection next = endpoint.Accept();
  CHECK(next.ReadMessage().find("GET ") == 0);
  next.Send(kHello);
  fixture.AwaitReply();
}

TEST_CASE("A kept connection is used again only when it is clean") {
  client_fixture fixture;
  const raw_listener endpoint;
  fixture.Start(fixture.Request(endpoint.port()));
  raw_connection first = endpoint.Accept();
  first.ReadMessage(kBodySize);

  SECTION("it is, after a whole answer") {
    first.Send(kHello);
    fixture.AwaitReply();
    fixture.Start(fixture.Request(endpoint.port()));
    CHECK(first.ReadMessage(kBodySize).find("POST") == 0);
    first.Send(kHello);
    fixture.AwaitReply();
  }

  SECTION("not when bytes followed the answer") {
    // The endpoint sends a second answer that nobody asked for. On a kept
    // connection the next caller would get it as its own.
    first.Send(std::string(kHello) +
               "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    CHECK(*fixture.AwaitReply().body == "hello");
    fixture.Start(fixture.Request(endpoint.port()));
    const raw_connection second = endpoint.Accept();
    second.ReadMessage(kBodySize);
    second.Send(kHello);
    CHECK(*fixture.AwaitReply().body == "hello");
  }

  SECTION("not when bytes came while nobody waited for any") {
    first.Send(kHello);
    fixture.AwaitReply();
    first.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    fixture.Start(fixture.Request(endpoint.port()));
    const raw_connection second = endpoint.Accept();
    second.ReadMessage(kBodySize);
    second.Send(kHello);
    CHECK(*fixture.AwaitReply().body == "hello");
  }

  SECTION("not when the endpoint closed it meanwhile") {
    first.Send(kHello);
    fixture.AwaitReply();
    first.Close();
    fixture.Start(fixture.Request(endpoint.port()));
    const raw_connection second = endpoint.Accept();
    second.ReadMessage(kBodySize);
    second.Send(kHello);
    CHECK(*fixture.AwaitReply().body == "hello");
  }

  SECTION("not when the deadline passed before the answer") {
    core::call_endpoint hurried = fixture.Request(endpoint.port());
    first.Send(kHello);
    fixture.AwaitReply();
    hurried.envelope.deadline = Now() + 30ms;
    fixture.Start(std::move(hurried));
    REQUIRE(first.ReadMessage(kBodySize).find("POST") == 0);
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kMaybeSent);
    // The late answer meets a closed connection.
    CHECK(first.ReadAll().empty());
    fixture.Start(fixture.Request(endpoint.port()));
    const raw_connection second = endpoint.Accept();
    second.ReadMessage(kBodySize);
    second.Send(kHello);
    CHECK(*fixture.AwaitReply().body == "hello");
  }

  SECTION("not when the endpoint asked to close it") {
    first.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: "
        "close\r\n\r\nhello");
    fixture.AwaitReply();
    CHECK(first.ReadAll().empty());
  }
}

TEST_CASE("A deadline holds against an endpoint that answers byte by byte") {
  // Each byte comes in time for a timeout of one read, and the whole never
  // ends. The caller would wait without limit and the slot stay taken.
  client_fixture fixture;
  const raw_listener endpoint;
  core::call_endpoint call = fixture.Request(endpoint.port());
  call.envelope.deadline = Now() + 50ms;
  fixture.Start(std::move(call));
  const raw_connection peer = endpoint.Accept();
  std::atomic<bool> ended = false;
  std::thread trickle([&] {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
    while (!ended) {
      peer.Send("x");
      std::this_thread::sleep_for(1ms);
    }
  });
  CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kMaybeSent);
  ended = true;
  trickle.join();
}

TEST_CASE("What surely wasn't run is told as such") {
  client_fixture fixture;
  raw_listener endpoint;

  SECTION("when the endpoint refuses the connection") {
    const std::uint16_t port = endpoint.port();
    endpoint.Close();
    fixture.Start(fixture.Request(port));
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kNotSent);
  }

  SECTION("when the deadline has passed already") {
    core::call_endpoint late = fixture.Request(endpoint.port());
    late.envelope.deadline = Now() - 1ms;
    fixture.Start(std::move(late));
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kNotSent);
  }

  SECTION("when the link has been stopped") {
    fixture.link().Stop();
    fixture.Start(fixture.Request(endpoint.port()));
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kNotSent);
  }

  SECTION("when the endpoint says so, and whether it is leaving") {
    fixture.Start(fixture.Request(endpoint.port()));
    const raw_connection peer = endpoint.Accept();
    peer.ReadMessage(kBodySize);
    peer.Send(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
        "Plantain-Not-Run: true\r\nPlantain-Leaving: true\r\n\r\n");
    const core::endpoint_failed failed = fixture.AwaitFailure();
    CHECK(failed.failure == core::endpoint_failure::kRefused);
    CHECK(failed.leaving);
  }

  SECTION("but a 503 alone is the endpoint's answer") {
    fixture.Start(fixture.Request(endpoint.port()));
    const raw_connection peer = endpoint.Accept();
    peer.ReadMessage(kBodySize);
    peer.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    CHECK(fixture.AwaitReply().status == 503);
  }
}

TEST_CASE("Connections and threads are bounded") {
  endpoint_options options;
  const raw_listener endpoint;

  SECTION("a call beyond an endpoint's connections isn't sent") {
    options.max_connections = 1;
    client_fixture fixture(options);
    fixture.Start(fixture.Request(endpoint.port()));
    const raw_connection peer = endpoint.Accept();
    peer.ReadMessage(kBodySize);
    fixture.Start(fixture.Request(endpoint.port()));
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kNotSent);
    peer.Send(kHello);
    fixture.AwaitReply();
  }

  SECTION("a call beyond the threads waits for one") {
    options.max_threads = 1;
    client_fixture fixture(options);
    fixture.Start(fixture.Request(endpoint.port()));
    fixture.Start(fixture.Request(endpoint.port()));
    const raw_connection peer = endpoint.Accept();
    for (int i = 0; i < 2; ++i) {
      peer.ReadMessage(kBodySize);
      peer.Send(kHello);
      fixture.AwaitReply();
    }
  }

  SECTION("an answer beyond the limit isn't kept in memory") {
    options.max_response_bytes = 4;
    client_fixture fixture(options);
    fixture.Start(fixture.Request(endpoint.port()));
    const raw_connection peer = endpoint.Accept();
    peer.ReadMessage(kBodySize);
    peer.Send(kHello);
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kMaybeSent);
  }
}

}  // namespace
}  // namespace plantainhead::endpoint

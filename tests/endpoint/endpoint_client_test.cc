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

// Runs an `endpoint_client` and queues its events for the test.
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

  void StartCall(core::call_endpoint call) { link_.Call(std::move(call)); }

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

TEST_CASE("A complete response from an endpoint is reported") {
  client_fixture fixture;
  const raw_listener endpoint;
  fixture.StartCall(fixture.Request(endpoint.port()));
  const raw_connection peer = endpoint.Accept();
  const std::string request = peer.ReadMessage(kBodySize);

  SECTION("after a request with the required headers and body") {
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

  SECTION("delimited by Content-Length, without hop-by-hop headers") {
    peer.Send(
        "HTTP/1.1 201 Created\r\nContent-Length: 5\r\nX-A: 1\r\n"
        "Keep-Alive: timeout=5\r\n\r\nhello");
    const core::endpoint_replied reply = fixture.AwaitReply();
    CHECK(reply.status == 201);
    CHECK(*reply.body == "hello");
    REQUIRE(reply.headers.size() == 1);
    CHECK(reply.headers[0].first == "X-A");
  }

  SECTION("delimited by the last chunk") {
    peer.Send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
    CHECK(*fixture.AwaitReply().body == "hello");
  }

  SECTION("with unmodified header values") {
    // cpp-httplib decodes %XX in header values, which would let an endpoint's
    // data inject headers into the response to a client.
    peer.Send(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: a%0d%0aB: "
        "%41\r\nLocation: /%41\r\nContent-Length: 3\r\n\r\n%41");
    const core::endpoint_replied reply = fixture.AwaitReply();
    REQUIRE(reply.headers.size() == 2);
    CHECK(reply.headers[0].second == "/%41");
    CHECK(reply.headers[1].second == "a%0d%0aB: %41");
    CHECK(*reply.body == "%41");
  }

  SECTION("without a body") {
    peer.Send("HTTP/1.1 204 No Content\r\n\r\n");
    CHECK(fixture.AwaitReply().status == 204);
    fixture.StartCall(fixture.Request(endpoint.port(), "HEAD"));
    peer.ReadMessage();
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
    CHECK(fixture.AwaitReply().status == 200);
    fixture.StartCall(fixture.Request(endpoint.port(), "GET"));
    peer.ReadMessage();
    peer.Send("HTTP/1.1 304 Not Modified\r\nContent-Length: 500\r\n\r\n");
    CHECK(fixture.AwaitReply().status == 304);
  }
  CHECK(fixture.UnreadEvents() == 0);
}

TEST_CASE("An incomplete or malformed response is reported as a failure") {
  // The endpoint executes the request and crashes, or a proxy corrupts the
  // response, after a part of it has been sent. The result must be reported as
  // indeterminate, because a truncated response that looks complete is worse
  // than none.
  client_fixture fixture;
  const raw_listener endpoint;
  fixture.StartCall(fixture.Request(endpoint.port()));
  raw_connection peer = endpoint.Accept();
  peer.ReadMessage(kBodySize);

  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello";

  SECTION("when the connection closes before Content-Length bytes are read") {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello");
  }
  SECTION("when the connection closes within the head") {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Le");
  }
  SECTION("when the connection closes before the first byte") {}
  SECTION("when the connection closes before the last chunk") {
    peer.Send(chunked + "\r\n");
  }
  SECTION("when a chunk is longer than its size") {
    peer.Send(chunked + "XX\r\n0\r\n\r\n");
  }
  SECTION(
      "when trailers, which the library cannot read, follow the last chunk") {
    peer.Send(chunked + "\r\n0\r\nX-Sum: 1\r\n\r\n");
  }
  SECTION("when the last chunk is not terminated") {
    peer.Send(chunked + "\r\n0\r\n");
  }
  SECTION("when only the end of the connection delimits the body") {
    peer.Send("HTTP/1.1 200 OK\r\n\r\nhello");
  }
  SECTION("when Content-Length is given twice") {
    peer.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\n"
        "hello");
  }
  SECTION("when Content-Length is not a number") {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\nhello");
  }
  SECTION("when a header name is malformed") {
    peer.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length : 3\r\n\r\n"
        "hello");
  }
  SECTION("when the response is not final") {
    peer.Send("HTTP/1.1 102 Processing\r\nContent-Length: 5\r\n\r\nhello");
  }
  SECTION("when the connection is reset within the body") {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello");
    peer.ResetOnClose();
  }
  peer.Close();
  CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kMaybeSent);
  fixture.link().Stop();
  CHECK(fixture.UnreadEvents() == 0);
}

TEST_CASE("A request is never resent when its connection fails") {
  // A reused connection closes just as the next request is sent on it. A client
  // library that resends the request on its own would have it executed twice.
  client_fixture fixture;
  raw_listener endpoint;
  fixture.StartCall(fixture.Request(endpoint.port()));
  raw_connection peer = endpoint.Accept();
  peer.ReadMessage(kBodySize);
  peer.Send(kHello);
  fixture.AwaitReply();
  fixture.StartCall(fixture.Request(endpoint.port()));

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
  // A resent request would be pending in the listener's queue by now.
  fixture.StartCall(fixture.Request(endpoint.port(), "GET"));
  const raw_connection next = endpoint.Accept();
  CHECK(next.ReadMessage().find("GET ") == 0);
  next.Send(kHello);
  fixture.AwaitReply();
}

TEST_CASE("A connection is reused only after a clean exchange") {
  client_fixture fixture;
  const raw_listener endpoint;
  fixture.StartCall(fixture.Request(endpoint.port()));
  raw_connection first = endpoint.Accept();
  first.ReadMessage(kBodySize);

  SECTION("reused after a complete response") {
    first.Send(kHello);
    fixture.AwaitReply();
    fixture.StartCall(fixture.Request(endpoint.port()));
    CHECK(first.ReadMessage(kBodySize).find("POST") == 0);
    first.Send(kHello);
    fixture.AwaitReply();
  }

  SECTION("not reused when bytes follow the response") {
    // The endpoint sends a second, unsolicited response. On a reused connection
    // it would be delivered as the response to the next request.
    first.Send(std::string(kHello) +
               "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    CHECK(*fixture.AwaitReply().body == "hello");
    fixture.StartCall(fixture.Request(endpoint.port()));
    const raw_connection second = endpoint.Accept();
    second.ReadMessage(kBodySize);
    second.Send(kHello);
    CHECK(*fixture.AwaitReply().body == "hello");
  }

  SECTION("not reused when bytes arrive while the connection is idle") {
    first.Send(kHello);
    fixture.AwaitReply();
    first.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    fixture.StartCall(fixture.Request(endpoint.port()));
    const raw_connection second = endpoint.Accept();
    second.ReadMessage(kBodySize);
    second.Send(kHello);
    CHECK(*fixture.AwaitReply().body == "hello");
  }

  SECTION("not reused when the endpoint closed it while idle") {
    first.Send(kHello);
    fixture.AwaitReply();
    first.Close();
    fixture.StartCall(fixture.Request(endpoint.port()));
    const raw_connection second = endpoint.Accept();
    second.ReadMessage(kBodySize);
    second.Send(kHello);
    CHECK(*fixture.AwaitReply().body == "hello");
  }

  SECTION("not reused when the deadline passed before the response") {
    core::call_endpoint hurried = fixture.Request(endpoint.port());
    first.Send(kHello);
    fixture.AwaitReply();
    hurried.envelope.deadline = Now() + 30ms;
    fixture.StartCall(std::move(hurried));
    REQUIRE(first.ReadMessage(kBodySize).find("POST") == 0);
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kMaybeSent);
    // A late response would find the connection closed.
    CHECK(first.ReadAll().empty());
    fixture.StartCall(fixture.Request(endpoint.port()));
    const raw_connection second = endpoint.Accept();
    second.ReadMessage(kBodySize);
    second.Send(kHello);
    CHECK(*fixture.AwaitReply().body == "hello");
  }

  SECTION("not reused when the endpoint requested to close it") {
    first.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: "
        "close\r\n\r\nhello");
    fixture.AwaitReply();
    CHECK(first.ReadAll().empty());
  }
}

TEST_CASE("The deadline applies to a response that arrives byte by byte") {
  // Each byte arrives within a timeout per read, but the response never ends.
  // Without a deadline for the entire exchange, the client would wait
  // indefinitely and its slot would stay occupied.
  client_fixture fixture;
  const raw_listener endpoint;
  core::call_endpoint call = fixture.Request(endpoint.port());
  call.envelope.deadline = Now() + 50ms;
  fixture.StartCall(std::move(call));
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

TEST_CASE("A request that was certainly not executed is reported as such") {
  client_fixture fixture;
  raw_listener endpoint;

  SECTION("when the endpoint refuses the connection") {
    const std::uint16_t port = endpoint.port();
    endpoint.Close();
    fixture.StartCall(fixture.Request(port));
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kNotSent);
  }

  SECTION("when the deadline has already passed") {
    core::call_endpoint late = fixture.Request(endpoint.port());
    late.envelope.deadline = Now() - 1ms;
    fixture.StartCall(std::move(late));
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kNotSent);
  }

  SECTION("when the client has been stopped") {
    fixture.link().Stop();
    fixture.StartCall(fixture.Request(endpoint.port()));
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kNotSent);
  }

  SECTION("when the endpoint reports it, including whether it is draining") {
    fixture.StartCall(fixture.Request(endpoint.port()));
    const raw_connection peer = endpoint.Accept();
    peer.ReadMessage(kBodySize);
    peer.Send(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
        "Plantain-Not-Run: true\r\nPlantain-Leaving: true\r\n\r\n");
    const core::endpoint_failed failed = fixture.AwaitFailure();
    CHECK(failed.failure == core::endpoint_failure::kRefused);
    CHECK(failed.leaving);
  }

  SECTION("but a 503 without the header is a response") {
    fixture.StartCall(fixture.Request(endpoint.port()));
    const raw_connection peer = endpoint.Accept();
    peer.ReadMessage(kBodySize);
    peer.Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    CHECK(fixture.AwaitReply().status == 503);
  }
}

TEST_CASE("Connections and threads are bounded") {
  endpoint_options options;
  const raw_listener endpoint;

  SECTION("a call beyond the connection limit of an endpoint fails") {
    options.max_connections = 1;
    client_fixture fixture(options);
    fixture.StartCall(fixture.Request(endpoint.port()));
    const raw_connection peer = endpoint.Accept();
    peer.ReadMessage(kBodySize);
    fixture.StartCall(fixture.Request(endpoint.port()));
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kNotSent);
    peer.Send(kHello);
    fixture.AwaitReply();
  }

  SECTION("a call beyond the thread limit waits for a thread") {
    options.max_threads = 1;
    client_fixture fixture(options);
    fixture.StartCall(fixture.Request(endpoint.port()));
    fixture.StartCall(fixture.Request(endpoint.port()));
    const raw_connection peer = endpoint.Accept();
    for (int i = 0; i < 2; ++i) {
      peer.ReadMessage(kBodySize);
      peer.Send(kHello);
      fixture.AwaitReply();
    }
  }

  SECTION("a response beyond the size limit fails") {
    options.max_response_bytes = 4;
    client_fixture fixture(options);
    fixture.StartCall(fixture.Request(endpoint.port()));
    const raw_connection peer = endpoint.Accept();
    peer.ReadMessage(kBodySize);
    peer.Send(kHello);
    CHECK(fixture.AwaitFailure().failure == core::endpoint_failure::kMaybeSent);
  }
}

}  // namespace
}  // namespace plantainhead::endpoint

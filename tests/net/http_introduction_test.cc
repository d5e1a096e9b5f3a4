#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "free_address.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "run_until.h"

namespace plantainhead::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FreeAddress;
using testing::RunUntil;

constexpr const char* kIntroduction = "/who";

/// A client that expects one peer, and a server that stands for one peer after
/// the other at the same address.
class introduced_client {
 public:
  introduced_client() {
    Listen("first");
    client.SetIntroduction(
        {[] {
           client_request request;
           request.target = kIntroduction;
           request.introduces = true;
           return request;
         },
         [this](const client_reply& reply) { return reply.body == expected; },
         [this](const client_reply& reply, milliseconds /*age*/) {
           unexpected.push_back(reply.body);
         }});
  }

  /// Replaces the peer. The connections of the former one are closed.
  void Listen(const std::string& name) {
    server.reset();
    requests.clear();
    server = std::make_unique<http_server>(
        &context, address, http_server_options(),
        [this, name](const server_request& request, const responder& respond) {
          requests.push_back(request.target);
          if (is_silent) {
            unanswered.push_back(respond);
          } else {
            respond({200, {}, name});
          }
        });
  }

  void Send(const std::string& target, milliseconds timeout = seconds(10)) {
    reply.reset();
    client_request request;
    request.verb = method::kPost;
    request.target = target;
    client.Send(request, timeout,
                [this](client_reply got) { reply = std::move(got); });
  }

  client_reply Await() {
    REQUIRE(RunUntil(&context, [this] { return reply.has_value(); }));
    return *reply;
  }

  boost::asio::io_context context;
  std::string address = FreeAddress();
  http_client client{&context, address, {1, seconds(20)}};
  std::unique_ptr<http_server> server;
  std::string expected = "first";
  std::vector<std::string> requests;
  std::vector<std::string> unexpected;
  std::vector<responder> unanswered;
  bool is_silent = false;
  std::optional<client_reply> reply;
};

using strings = std::vector<std::string>;

TEST_CASE("A connection is introduced before a call is sent on it") {
  introduced_client peer;
  peer.Send("/order");
  CHECK(peer.Await().outcome == call_outcome::kAnswered);
  CHECK(peer.requests == strings{kIntroduction, "/order"});

  SECTION("and only once") {
    peer.Send("/next");
    CHECK(peer.Await().outcome == call_outcome::kAnswered);
    CHECK(peer.requests == strings{kIntroduction, "/order", "/next"});
  }

  // Guards against a call that is carried out by a peer for which it was not
  // made.
  SECTION("and another peer does not receive the call") {
    peer.Listen("second");
    peer.Send("/late");
    CHECK(peer.Await().outcome == call_outcome::kNotSent);
    CHECK(peer.requests == strings{kIntroduction});
    CHECK(peer.unexpected == strings{"second"});

    SECTION("until the client expects it") {
      peer.expected = "second";
      peer.client.ExpectNewPeer();
      peer.Send("/order");
      CHECK(peer.Await().outcome == call_outcome::kAnswered);
    }
  }

  // Guards against a call that waits for a connection and is then sent to
  // another peer than that for which it was made.
  SECTION("and calls that wait end unsent when another peer is expected") {
    peer.is_silent = true;
    peer.Send("/first");
    REQUIRE(RunUntil(&peer.context, [&] { return !peer.unanswered.empty(); }));
    peer.Send("/waiting");
    peer.client.ExpectNewPeer();
    CHECK(peer.Await().outcome == call_outcome::kNotSent);
    CHECK(peer.requests.back() != "/waiting");
  }

  // Guards against a new peer that is not called as long as a call to the
  // former one waits for its answer.
  SECTION("and a call that was sent ends when another peer is expected") {
    peer.is_silent = true;
    peer.Send("/sent");
    REQUIRE(RunUntil(&peer.context, [&] { return !peer.unanswered.empty(); }));
    peer.client.ExpectNewPeer();
    CHECK(peer.Await().outcome == call_outcome::kUnanswered);
  }
}

TEST_CASE("A call that introduces needs no introduction") {
  introduced_client peer;
  client_request request;
  request.target = kIntroduction;
  request.introduces = true;
  peer.client.Send(request, seconds(10),
                   [&](client_reply got) { peer.reply = std::move(got); });
  CHECK(peer.Await().body == "first");
  peer.Send("/order");
  peer.Await();
  CHECK(peer.requests == strings{kIntroduction, "/order"});
}

// Guards against orders that are never sent to a peer whose answers take longer
// than the timeout of an order.
TEST_CASE("An introduction that is answered late serves the next call") {
  introduced_client peer;
  peer.is_silent = true;
  peer.Send("/order", milliseconds(50));
  CHECK(peer.Await().outcome == call_outcome::kNotSent);
  REQUIRE(peer.unanswered.size() == 1);
  peer.unanswered[0]({200, {}, "first"});
  peer.is_silent = false;
  peer.Send("/next");
  CHECK(peer.Await().outcome == call_outcome::kAnswered);
  CHECK(peer.requests == strings{kIntroduction, "/next"});
  CHECK(peer.client.OpenedConnections() == 1);
}

// Guards against a call that counts as possibly carried out although it was
// never sent, because the introduction was not answered.
TEST_CASE("A call whose connection is not introduced in time is not sent") {
  introduced_client peer;
  peer.is_silent = true;
  peer.Send("/order", milliseconds(50));
  CHECK(peer.Await().outcome == call_outcome::kNotSent);
  CHECK(peer.requests == strings{kIntroduction});
}

}  // namespace
}  // namespace plantainhead::net

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "free_address.h"
#include "loopback.h"
#include "net/address.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "run_until.h"

namespace plantainhead::net {
namespace {

using std::chrono::milliseconds;
using testing::FreeAddress;
using testing::RunUntil;

client_request Post(const std::string& target, const std::string& body) {
  client_request request;
  request.verb = method::kPost;
  request.target = target;
  request.body = body;
  return request;
}

TEST_CASE("The server answers the calls of a client") {
  boost::asio::io_context context;
  const std::string address = FreeAddress();
  std::vector<server_request> requests;
  std::vector<responder> pending;
  bool answers = true;
  http_server server(&context, address, {},
                     [&](server_request request, responder respond) {
                       requests.push_back(request);
                       if (answers) {
                         respond({201, {{"Retry-After", "2"}}, "ok"});
                       } else {
                         pending.push_back(std::move(respond));
                       }
                     });
  http_client client(&context, address, {1, std::chrono::seconds(20)});
  std::optional<client_reply> reply;
  const auto call = [&](milliseconds timeout) {
    reply.reset();
    client.Send(Post("/path?x=1", "body"), timeout,
                [&](client_reply got) { reply = std::move(got); });
  };

  call(std::chrono::seconds(10));
  REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
  CHECK(reply->outcome == call_outcome::kAnswered);
  CHECK(reply->status == 201);
  CHECK(reply->body == "ok");
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].target == "/path?x=1");
  CHECK(requests[0].body == "body");
  CHECK(FindHeader(requests[0].headers, "content-type") == "application/json");

  SECTION("over one connection as long as it stays open") {
    call(std::chrono::seconds(10));
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(client.OpenedConnections() == 1);
  }

  // The server does not answer. The call must end by its own timeout, and a
  // later response must not be delivered to another call.
  SECTION("an unanswered call ends, and its connection is closed") {
    answers = false;
    call(milliseconds(50));
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kUnanswered);
    REQUIRE(pending.size() == 1);
    pending[0]({200, {}, "late"});
    answers = true;
    call(std::chrono::seconds(10));
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->body == "ok");
    CHECK(client.OpenedConnections() == 2);
  }

  SECTION("a call that gets no connection in time is not sent") {
    answers = false;
    std::optional<client_reply> first;
    client.Send(Post("/", ""), std::chrono::seconds(30),
                [&](client_reply got) { first = std::move(got); });
    call(milliseconds(50));
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kNotSent);
    CHECK(requests.size() <= 2);
  }

  // Guards against an order being sent although it expired while it waited for
  // a connection.
  SECTION("a call that must no longer be sent is not sent") {
    answers = false;
    client.Send(Post("/first", ""), std::chrono::seconds(30),
                [](const client_reply& /*reply*/) {});
    bool may_send = true;
    client_request late = Post("/late", "");
    late.may_send = [&] { return may_send; };
    reply.reset();
    client.Send(late, std::chrono::seconds(30),
                [&](client_reply got) { reply = std::move(got); });
    REQUIRE(RunUntil(&context, [&] { return pending.size() == 1; }));
    may_send = false;
    answers = true;
    pending[0]({200, {}, ""});
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kNotSent);
    CHECK(requests.back().target == "/first");

    SECTION("its connection is reused for the next call") {
      call(std::chrono::seconds(10));
      REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
      CHECK(reply->status == 201);
      CHECK(client.OpenedConnections() == 1);
    }
  }

  SECTION("a stopping server closes the connection after the response") {
    server.BeginStop();
    call(std::chrono::seconds(10));
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->status == 201);
    CHECK(server.ActiveRequests() == 0);
    call(std::chrono::seconds(10));
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(client.OpenedConnections() == 2);
  }
}

// After a temporary network failure, all connections that were idle at that
// time may be dead without a reset. If each of them were tried, calls to a
// healthy peer would time out one after the other, and a group member that
// renews its membership would lose its partitions. One timeout must therefore
// close all connections that have not delivered a response since the call was
// sent.
TEST_CASE("An unanswered call closes connections idle since it was sent") {
  boost::asio::io_context context;
  const std::string address = FreeAddress();
  std::vector<responder> pending;
  http_server server(&context, address, {},
                     [&](const server_request&, responder respond) {
                       pending.push_back(std::move(respond));
                     });
  http_client client(&context, address, {4, std::chrono::seconds(20)});
  std::size_t answered = 0;
  std::size_t unanswered = 0;
  const auto call = [&](milliseconds timeout) {
    client.Send(Post("/", ""), timeout, [&](const client_reply& got) {
      ++(got.outcome == call_outcome::kAnswered ? answered : unanswered);
    });
  };
  const auto answer = [&](std::size_t count) {
    REQUIRE(RunUntil(&context, [&] { return pending.size() == count; }));
    for (const responder& respond : pending) {
      respond({200, {}, "ok"});
    }
    pending.clear();
  };
  for (int i = 0; i < 3; ++i) {
    call(std::chrono::seconds(30));
  }
  answer(3);
  REQUIRE(RunUntil(&context, [&] { return answered == 3; }));
  REQUIRE(client.OpenedConnections() == 3);

  SECTION("connections that were idle when it was sent") {
    call(milliseconds(50));
    REQUIRE(RunUntil(&context, [&] { return unanswered == 1; }));
    pending.clear();
    call(std::chrono::seconds(30));
    answer(1);
    REQUIRE(RunUntil(&context, [&] { return answered == 4; }));
    CHECK(client.OpenedConnections() == 4);
  }

  SECTION("but not connections that delivered a response since") {
    call(milliseconds(200));
    REQUIRE(RunUntil(&context, [&] { return pending.size() == 1; }));
    const responder unanswered_call = std::move(pending.front());
    pending.clear();
    call(std::chrono::seconds(30));
    answer(1);
    REQUIRE(RunUntil(&context, [&] { return unanswered == 1; }));
    call(std::chrono::seconds(30));
    answer(1);
    REQUIRE(RunUntil(&context, [&] { return answered == 5; }));
    CHECK(client.OpenedConnections() == 3);
  }
}

// Server that answers one call in pieces, with a pause between them.
class slow_server {
 public:
  slow_server(boost::asio::io_context* context,
              std::vector<std::string> pieces,
              milliseconds pause)
      : acceptor_(*context, ParseAddress("127.0.0.1:0")),
        socket_(*context),
        timer_(*context),
        pieces_(std::move(pieces)),
        pause_(pause) {
    acceptor_.async_accept(socket_,
                           [this](const boost::system::error_code& error) {
                             if (!error) {
                               SendNextPiece();
                             }
                           });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void SendNextPiece() {
    if (sent_ == pieces_.size()) {
      return;
    }
    timer_.expires_after(sent_ == 0 ? milliseconds(0) : pause_);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        boost::asio::write(socket_, boost::asio::buffer(pieces_[sent_]));
        ++sent_;
        SendNextPiece();
      }
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::vector<std::string> pieces_;
  milliseconds pause_;
  std::size_t sent_ = 0;
};

// A starting process reads several MB of records over a slow link. If calls
// timed out while their responses arrive, all would be retried together and
// none would ever succeed, so that the process would never become ready.
TEST_CASE("A response that is still arriving extends its call's timeout") {
  boost::asio::io_context context;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n";
  http_client_options options;
  std::optional<client_reply> reply;
  const auto on_reply = [&](client_reply got) { reply = std::move(got); };

  SECTION("as long as more data arrives") {
    options.stall_timeout = std::chrono::seconds(30);
    slow_server server(&context, {head + "ab", "cd", "ef"}, milliseconds(400));
    http_client client(&context, server.address(), options);
    client.Send(Post("/", ""), milliseconds(500), on_reply);
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kAnswered);
    CHECK(reply->body == "abcdef");
  }

  SECTION("but not after it stalls") {
    options.stall_timeout = milliseconds(50);
    slow_server server(&context, {head + "ab"}, milliseconds(0));
    http_client client(&context, server.address(), options);
    client.Send(Post("/", ""), milliseconds(500), on_reply);
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kUnanswered);
  }

  SECTION("but not beyond the response timeout") {
    options.stall_timeout = std::chrono::seconds(30);
    options.response_timeout = milliseconds(0);
    slow_server server(&context, {head + "ab"}, milliseconds(0));
    http_client client(&context, server.address(), options);
    client.Send(Post("/", ""), milliseconds(300), on_reply);
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kUnanswered);
  }
}

// A process is blocked, by work or by a suspension, until after the deadlines
// of all its calls. The peers have answered in time, and the responses wait in
// the sockets. If the calls were considered unanswered, the delayed process
// would have to repeat each of them on a new connection.
TEST_CASE(
    "A response that arrived while the process was blocked is delivered") {
  boost::asio::io_context peers_context;
  const std::string address = FreeAddress();
  std::optional<responder> pending;
  http_server server(&peers_context, address, {},
                     [&](const server_request& /*request*/, responder respond) {
                       pending = std::move(respond);
                     });
  boost::asio::io_context context;
  http_client client(&context, address, {});
  std::optional<client_reply> reply;
  constexpr milliseconds kTimeout(300);
  client.Send(Post("/path", "body"), kTimeout,
              [&](client_reply got) { reply = std::move(got); });
  while (!pending) {
    context.restart();
    context.poll();
    peers_context.restart();
    peers_context.run_for(milliseconds(1));
  }

  SECTION("if the peer has answered") {
    (*pending)({200, {}, "in time"});
    peers_context.restart();
    peers_context.run_for(milliseconds(10));
    std::this_thread::sleep_for(kTimeout);
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kAnswered);
    CHECK(reply->body == "in time");
  }

  SECTION("and a call that the peer has not answered times out") {
    std::this_thread::sleep_for(kTimeout);
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kUnanswered);
  }
}

// Guards against large responses that take seconds to read because each KiB of
// them waits behind the other handlers of a busy process.
TEST_CASE("A large response is read in few iterations of the event loop") {
  constexpr std::size_t kBytes = std::size_t{128} << 10U;
  constexpr int kMaxIterations = 32;
  boost::asio::io_context peers_context;
  const std::string address = FreeAddress();
  http_server server(
      &peers_context, address, {},
      [&](const server_request& request, responder respond) {
        const bool is_large = request.target == "/large";
        respond({200, {}, std::string(is_large ? kBytes : 1, 'a')});
      });
  boost::asio::io_context context;
  http_client client(&context, address, {});
  std::optional<client_reply> reply;
  const auto iterations_for = [&](const std::string& target) {
    reply.reset();
    client.Send(Post(target, ""), std::chrono::seconds(30),
                [&](client_reply got) { reply = std::move(got); });
    int iterations = 0;
    while (!reply) {
      // Lets the peer send as much as it can before each iteration.
      peers_context.restart();
      peers_context.run_for(milliseconds(2));
      context.restart();
      iterations += static_cast<int>(context.poll_one());
    }
    return iterations;
  };

  const int small_iterations = iterations_for("/little");
  const int large_iterations = iterations_for("/large");
  CHECK(reply->body.size() == kBytes);
  CHECK(large_iterations - small_iterations < kMaxIterations);

  SECTION("also after a small response on the same connection") {
    iterations_for("/little");
    CHECK(iterations_for("/large") < kMaxIterations);
  }
}

// Guards against useful responses being discarded because a saturated link
// delays them.
TEST_CASE("A late response is delivered within the additional wait") {
  boost::asio::io_context context;
  const std::string address = FreeAddress();
  std::optional<responder> pending;
  http_server server(&context, address, {},
                     [&](const server_request& /*request*/, responder respond) {
                       pending = std::move(respond);
                     });
  http_client client(&context, address, {});
  std::optional<client_reply> reply;
  int late_notifications = 0;
  late_response_policy late;
  late.extra_wait = milliseconds(200);
  late.on_late = [&] { ++late_notifications; };

  SECTION("the caller is notified that the response is late") {
    late.extra_wait = std::chrono::seconds(60);
    client.Send(Post("/path", "body"), milliseconds(50), late,
                [&](client_reply got) { reply = std::move(got); });
    REQUIRE(
        RunUntil(&context, [&] { return late_notifications == 1 && pending; }));
    CHECK_FALSE(reply.has_value());
    (*pending)({200, {}, "late"});
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kAnswered);
    CHECK(reply->body == "late");
  }

  SECTION("the call times out after the additional wait") {
    client.Send(Post("/path", "body"), milliseconds(50), late,
                [&](client_reply got) { reply = std::move(got); });
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kUnanswered);
    CHECK(late_notifications == 1);
  }

  SECTION("a call that was never sent is not late") {
    http_client unreachable_client(&context, FreeAddress(), {});
    unreachable_client.Send(Post("/path", "body"), std::chrono::seconds(10),
                            late,
                            [&](client_reply got) { reply = std::move(got); });
    REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
    CHECK(reply->outcome == call_outcome::kNotSent);
    CHECK(late_notifications == 0);
  }
}

TEST_CASE("A call to a port without a listener is not sent") {
  boost::asio::io_context context;
  http_client client(&context, FreeAddress(), {});
  std::optional<client_reply> reply;
  client.Send(Post("/", ""), std::chrono::seconds(10),
              [&](client_reply got) { reply = std::move(got); });
  REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
  CHECK(reply->outcome == call_outcome::kNotSent);
}

TEST_CASE("A server rejects bodies above its size limit") {
  boost::asio::io_context context;
  const std::string address = FreeAddress();
  http_server_options options;
  options.body_limit = 10;
  http_server server(&context, address, options,
                     [](server_request, const responder& respond) {
                       respond({200, {}, "fine"});
                     });
  http_client client(&context, address, {});
  std::optional<client_reply> reply;
  client.Send(Post("/", "more than ten bytes"), std::chrono::seconds(10),
              [&](client_reply got) { reply = std::move(got); });
  REQUIRE(RunUntil(&context, [&] { return reply.has_value(); }));
  CHECK(reply->status == 413);
}

TEST_CASE("An address needs an IP number and a port") {
  CHECK(ParseAddress("127.0.0.1:80").port() == 80);
  CHECK_THROWS_AS(ParseAddress("localhost:80"), std::invalid_argument);
  CHECK_THROWS_AS(ParseAddress("127.0.0.1"), std::invalid_argument);
  CHECK_THROWS_AS(ParseAddress("127.0.0.1:port"), std::invalid_argument);
}

}  // namespace
}  // namespace plantainhead::net

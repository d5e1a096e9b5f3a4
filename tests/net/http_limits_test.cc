#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "free_address.h"
#include "net/address.h"
#include "net/http_server.h"
#include "net/memory_budget.h"
#include "run_until.h"

namespace plantainhead::net {
namespace {

using testing::FreeAddress;
using testing::RunUntil;

constexpr std::size_t kKib = 1024;

/// A client that sends any bytes, on the context of the server.
class raw_client {
 public:
  raw_client(boost::asio::io_context* context, const std::string& address)
      : context_(context), socket_(*context) {
    socket_.connect(ParseAddress(address));
  }

  void Send(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    socket_.non_blocking(true);
  }

  /// Returns whether the response begins with `status` in the end.
  bool Gets(const std::string& status) {
    return RunUntil(context_,
                    [&] {
                      Receive();
                      return is_closed_ ||
                             received_.find("\r\n\r\n") != std::string::npos;
                    }) &&
           received_.rfind("HTTP/1.1 " + status, 0) == 0;
  }

  bool IsClosed() {
    Receive();
    return is_closed_;
  }

  const std::string& received() const { return received_; }

 private:
  void Receive() {
    std::array<char, kKib> bytes{};
    boost::system::error_code error;
    socket_.non_blocking(true);
    const std::size_t size =
        socket_.read_some(boost::asio::buffer(bytes), error);
    received_.append(bytes.data(), size);
    is_closed_ =
        is_closed_ || (error && error != boost::asio::error::would_block);
  }

  boost::asio::io_context* context_;
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
  bool is_closed_ = false;
};

std::string PostOf(std::size_t announced, const std::string& body) {
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(announced) + "\r\n\r\n" + body;
}

// Guards against heads, trailers and chunk extensions that fill the memory.
TEST_CASE("A server refuses heads and trailers above its limits") {
  boost::asio::io_context context;
  const std::string address = FreeAddress();
  http_server_options options;
  options.head_limit = 2 * kKib;
  options.header_count_limit = 5;
  std::vector<server_limit> limits;
  options.on_limit = [&](server_limit limit) { limits.push_back(limit); };
  int handled = 0;
  http_server server(&context, address, options,
                     [&](const server_request&, const responder& respond) {
                       ++handled;
                       respond({200, {}, "ok"});
                     });
  raw_client client(&context, address);
  const std::string chunked =
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nok\r\n";

  SECTION("a request inside them is served") {
    client.Send(chunked + "0\r\nA: 1\r\nB: 2\r\n\r\n");
    CHECK(client.Gets("200"));
    CHECK(limits.empty());
  }
  SECTION("a request line") {
    client.Send("GET /" + std::string(3 * kKib, 'x'));
    CHECK(client.Gets("431"));
  }
  SECTION("a header line") {
    client.Send("GET / HTTP/1.1\r\nA: " + std::string(3 * kKib, 'x'));
    CHECK(client.Gets("431"));
  }
  SECTION("more headers") {
    client.Send(
        "GET / HTTP/1.1\r\nA: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\nE: 1\r\nF: "
        "1\r\n\r\n");
    CHECK(client.Gets("431"));
  }
  SECTION("more trailers") {
    client.Send(chunked + "0\r\nA: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\n\r\n");
    CHECK(client.Gets("431"));
  }
  SECTION("a trailer") {
    client.Send(chunked + "0\r\nA: " + std::string(5 * kKib, 'x'));
    CHECK(client.Gets("431"));
  }
  SECTION("the extension of a chunk") {
    client.Send(chunked + "2;x=" + std::string(5 * kKib, 'x'));
    CHECK(client.Gets("431"));
  }
  if (handled == 0) {
    CHECK(limits == std::vector<server_limit>{server_limit::kHead});
  }
}

// Guards against many bodies that together exceed the memory, although each is
// inside the limit of one request.
TEST_CASE("Servers that share a budget hold no more bytes than it allows") {
  boost::asio::io_context context;
  const std::string address = FreeAddress();
  const std::string other_address = FreeAddress();
  http_server_options options;
  options.body_limit = 64 * kKib;
  options.budget = std::make_shared<memory_budget>(100 * kKib);
  int evictions_or_refusals = 0;
  options.on_limit = [&](server_limit limit) {
    CHECK(limit == server_limit::kMemory);
    ++evictions_or_refusals;
  };
  std::vector<responder> pending;
  bool answers = true;
  const auto handler = [&](const server_request&, responder respond) {
    if (answers) {
      respond({200, {}, "ok"});
    } else {
      pending.push_back(std::move(respond));
    }
  };
  http_server server(&context, address, options, handler);
  http_server other(&context, other_address, options, handler);
  const std::size_t size = 50 * kKib;
  const auto begin = [&](raw_client* client) {
    const std::size_t before = options.budget->held();
    client->Send(PostOf(size, "begin"));
    return RunUntil(&context, [&] {
      return options.budget->held() != before || evictions_or_refusals > 0;
    });
  };
  raw_client first(&context, address);
  raw_client second(&context, other_address);
  REQUIRE(begin(&first));
  REQUIRE(begin(&second));
  raw_client third(&context, address);

  SECTION("the incomplete request that began first is closed") {
    REQUIRE(begin(&third));
    CHECK(RunUntil(&context, [&] { return first.IsClosed(); }));
    CHECK_FALSE(second.IsClosed());
    CHECK(evictions_or_refusals == 1);
    CHECK(options.budget->held() <= 100 * kKib);
    third.Send(std::string(size - 5, 'x'));
    CHECK(third.Gets("200"));
  }

  SECTION("short requests need no room") {
    third.Send(PostOf(2, "ok"));
    CHECK(third.Gets("200"));
    CHECK(evictions_or_refusals == 0);
  }

  SECTION("without a request to close, the new one is refused") {
    answers = false;
    first.Send(std::string(size - 5, 'x'));
    second.Send(std::string(size - 5, 'x'));
    REQUIRE(RunUntil(&context, [&] { return pending.size() == 2; }));
    third.Send(PostOf(size, "begin"));
    CHECK(third.Gets("503"));
    CHECK(third.received().find("Retry-After: 1\r\n") != std::string::npos);
    pending[0]({200, {}, "ok"});
    pending[1]({200, {}, "ok"});
    CHECK(first.Gets("200"));
    CHECK(second.Gets("200"));
  }

  SECTION("responses and closed connections release their bytes") {
    first.Send(std::string(size - 5, 'x'));
    CHECK(first.Gets("200"));
    second = raw_client(&context, address);
    CHECK(RunUntil(&context, [&] { return options.budget->held() == 0; }));
  }
}

// Guards against connections that keep ordinary callers out.
TEST_CASE("A server that has no connection left makes room for a new one") {
  boost::asio::io_context context;
  const std::string address = FreeAddress();
  http_server_options options;
  options.max_connections = 2;
  std::vector<server_limit> limits;
  options.on_limit = [&](server_limit limit) { limits.push_back(limit); };
  std::vector<responder> pending;
  http_server server(&context, address, options,
                     [&](const server_request&, responder respond) {
                       pending.push_back(std::move(respond));
                     });
  const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  raw_client first(&context, address);
  raw_client second(&context, address);
  first.Send(get);
  REQUIRE(RunUntil(&context, [&] { return pending.size() == 1; }));
  raw_client third(&context, address);

  SECTION("by closing one without a request in progress") {
    third.Send(get);
    REQUIRE(RunUntil(&context, [&] { return pending.size() == 2; }));
    CHECK(RunUntil(&context, [&] { return second.IsClosed(); }));
    CHECK(limits == std::vector<server_limit>{server_limit::kConnections});
    pending[0]({200, {}, "ok"});
    pending[1]({200, {}, "ok"});
    CHECK(first.Gets("200"));
    CHECK(third.Gets("200"));
  }

  SECTION("but not one with a request that is being handled") {
    second.Send(get);
    REQUIRE(RunUntil(&context, [&] { return third.IsClosed(); }));
    REQUIRE(RunUntil(&context, [&] { return pending.size() == 2; }));
    pending[0]({200, {}, "ok"});
    pending[1]({200, {}, "ok"});
    CHECK(first.Gets("200"));
    CHECK(second.Gets("200"));
  }
}

// Guards against requests that arrive so slowly that they never end.
TEST_CASE("A request that does not arrive in time closes its connection") {
  boost::asio::io_context context;
  const std::string address = FreeAddress();
  http_server_options options;
  options.request_timeout = std::chrono::milliseconds(1);
  std::vector<server_limit> limits;
  options.on_limit = [&](server_limit limit) { limits.push_back(limit); };
  http_server server(&context, address, options,
                     [&](const server_request&, const responder& respond) {
                       respond({200, {}, "ok"});
                     });
  raw_client idle(&context, address);
  raw_client slow(&context, address);
  slow.Send("GET / HTTP/1.1\r\n");
  CHECK(RunUntil(&context, [&] { return slow.IsClosed() && !limits.empty(); }));
  CHECK_FALSE(idle.IsClosed());
  CHECK(limits == std::vector<server_limit>{server_limit::kRequestTime});
}

}  // namespace
}  // namespace plantainhead::net

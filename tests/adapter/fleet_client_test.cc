#include "platform/fleet_client.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "free_address.h"
#include "net/http_server.h"
#include "run_until.h"

namespace plantainhead::adapter {
namespace {

using std::chrono::hours;
using testing::RunUntil;

constexpr int kServiceCalls = 200;

/// Platform that answers all calls except service orders.
class stalled_service_platform {
 public:
  explicit stalled_service_platform(boost::asio::io_context* context)
      : address(testing::FreeAddress()),
        server_(context,
                address,
                net::http_server_options(),
                [this](const net::server_request& request,
                       const net::responder& respond) {
                  if (request.target == "/plantainhead/machine-upkeep") {
                    ++service_calls;
                  } else {
                    respond({200, {}, R"({"machines":[],"next_token":null})"});
                  }
                }) {}

  std::string address;
  int service_calls = 0;

 private:
  net::http_server server_;
};

// Guards against pools that receive no VMs for seconds when a wave starts: if
// moves shared connections with service orders, they would wait behind them
// until they expired.
TEST_CASE("Unanswered service orders do not delay other calls") {
  boost::asio::io_context context;
  stalled_service_platform platform(&context);
  fleet_client client(&context, platform.address, "p1");
  const auto may_send = [] { return true; };
  for (int i = 0; i < kServiceCalls; ++i) {
    client.ServiceHost("h" + std::to_string(i), 7, 1, hours(1), may_send,
                       [](host_order_outcome /*outcome*/) {});
  }
  REQUIRE(RunUntil(&context, [&] { return platform.service_calls > 0; }));

  SECTION("a move is answered") {
    std::optional<host_order_outcome> moved;
    client.MoveHost("h", "pool", 1, hours(1), may_send,
                    [&](host_order_outcome outcome) { moved = outcome; });
    REQUIRE(RunUntil(&context, [&] { return moved.has_value(); }));
    CHECK(moved == host_order_outcome::kAccepted);
  }

  SECTION("the host list is read") {
    std::optional<fleet_page> page;
    client.ListHosts("", hours(1), [&](fleet_page read) { page = read; });
    REQUIRE(RunUntil(&context, [&] { return page.has_value(); }));
    CHECK(page->is_read);
  }
}

// Guards against an order that was carried out and is taken to have failed: the
// platform says of a rate limit that the order was refused, and of no other
// status.
TEST_CASE("Only a rate limit shows that an order was refused") {
  boost::asio::io_context context;
  const std::string address = testing::FreeAddress();
  unsigned status = 0;
  net::http_server server(&context, address, net::http_server_options(),
                          [&](const net::server_request& /*request*/,
                              const net::responder& respond) {
                            respond({status, {}, "{}"});
                          });
  fleet_client client(&context, address, "p1");
  const auto outcome_of = [&](unsigned answer) {
    status = answer;
    std::optional<host_order_outcome> outcome;
    client.ServiceHost(
        "h", 7, 1, hours(1), [] { return true; },
        [&](host_order_outcome result) { outcome = result; });
    RunUntil(&context, [&] { return outcome.has_value(); });
    return outcome;
  };
  CHECK(outcome_of(429) == host_order_outcome::kRefused);
  CHECK(outcome_of(503) == host_order_outcome::kUnknown);
  CHECK(outcome_of(500) == host_order_outcome::kUnknown);
}

}  // namespace
}  // namespace plantainhead::adapter

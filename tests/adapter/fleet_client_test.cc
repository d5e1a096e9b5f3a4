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

constexpr int kServices = 200;

/// Answers all calls but services.
class busy_platform {
 public:
  explicit busy_platform(boost::asio::io_context* context)
      : address(testing::FreeAddress()),
        server_(context,
                address,
                net::http_server_options(),
                [this](const net::server_request& request,
                       const net::responder& respond) {
                  if (request.target == "/plantainhead/machine-upkeep") {
                    ++services;
                  } else {
                    respond({200, {}, R"({"machines":[],"next_token":null})"});
                  }
                }) {}

  std::string address;
  int services = 0;

 private:
  net::http_server server_;
};

// Guards against pools that get no VMs for seconds while a wave begins: their
// moves waited for connections behind its services until they were too old.
TEST_CASE("A service that waits for its answer holds up nothing else") {
  boost::asio::io_context context;
  busy_platform platform(&context);
  fleet_client client(&context, platform.address, "p1");
  const auto may_send = [] { return true; };
  for (int i = 0; i < kServices; ++i) {
    client.Service("h" + std::to_string(i), 7, 1, hours(1), may_send,
                   [](duty_outcome /*outcome*/) {});
  }
  REQUIRE(RunUntil(&context, [&] { return platform.services > 0; }));

  SECTION("a move is answered") {
    std::optional<duty_outcome> moved;
    client.Move("h", "pool", 1, hours(1), may_send,
                [&](duty_outcome outcome) { moved = outcome; });
    REQUIRE(RunUntil(&context, [&] { return moved.has_value(); }));
    CHECK(moved == duty_outcome::kAccepted);
  }

  SECTION("the list is read") {
    std::optional<fleet_page> page;
    client.List("", hours(1), [&](fleet_page read) { page = read; });
    REQUIRE(RunUntil(&context, [&] { return page.has_value(); }));
    CHECK(page->is_read);
  }
}

}  // namespace
}  // namespace plantainhead::adapter

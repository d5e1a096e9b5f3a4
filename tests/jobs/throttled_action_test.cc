#include "jobs/throttled_action.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>

namespace plantainhead::jobs {
namespace {

TEST_CASE("An action runs once for several requests") {
  boost::asio::io_context context;
  int runs = 0;
  throttled_action action(&context, [&] { ++runs; });
  action.Request();
  action.Request();
  CHECK(runs == 0);
  context.run();
  CHECK(runs == 1);

  SECTION("and again for a request after the run") {
    action.Request();
    context.restart();
    context.run();
    CHECK(runs == 2);
  }
}

TEST_CASE("An action that is requested during its own run is run again") {
  boost::asio::io_context context;
  int runs = 0;
  std::unique_ptr<throttled_action> action;
  action = std::make_unique<throttled_action>(&context, [&] {
    if (++runs < 3) {
      action->Request();
    }
  });
  action->Request();
  context.run();
  CHECK(runs == 3);
}

TEST_CASE("A pending action is discarded when its object is destroyed") {
  boost::asio::io_context context;
  int runs = 0;
  auto action = std::make_unique<throttled_action>(&context, [&] { ++runs; });
  action->Request();
  action.reset();
  context.run();
  CHECK(runs == 0);
}

}  // namespace
}  // namespace plantainhead::jobs

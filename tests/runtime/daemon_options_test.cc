#include "runtime/daemon_options.h"

#include <catch2/catch.hpp>

namespace plantainhead::runtime {
namespace {

TEST_CASE("Limits that must agree between an entry's parts do") {
  settings::entry_settings settings;

  SECTION("a caller can't outwait a drain") {
    settings.max_request_timeout = std::chrono::seconds(7);
    CHECK(HttpOptions(settings).greatest_patience ==
          settings.max_request_timeout);
    CHECK(HttpOptions(settings).default_patience <=
          settings.max_request_timeout);
    CHECK(CoreOptions(settings, {}).planner.max_deadline ==
          settings.max_request_timeout);
  }

  // An endpoint answers with more than a frame can carry. The owner would lose
  // its connection to the asking entry, and all answers under way with it.
  SECTION("what callers may send and endpoints answer fits into a frame") {
    settings.body_limit = std::uint64_t{100} << 20U;
    const std::size_t frame = PeerOptions(settings, {}).frame_limit;
    CHECK(HttpOptions(settings).body_limit < frame);
    CHECK(EndpointOptions(settings).max_response_bytes < frame);
    CHECK(PeerOptions(settings, {}).queue_limit > frame);
  }

  SECTION("a frame fits among all frames that have arrived in part") {
    CHECK(PeerOptions(settings, {}).frame_limit <=
          PeerOptions(settings, {}).partial_limit);
  }

  SECTION("the lease's holder stops before others may take it") {
    const auto lease = CoreOptions(settings, {}).lease;
    CHECK(lease.margin > core::duration::zero());
    CHECK(lease.margin < lease.lease * 2 / 3);
  }
}

}  // namespace
}  // namespace plantainhead::runtime

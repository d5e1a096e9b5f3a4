#include "jobs/loop_lag_monitor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;

// Without this measurement a blocked event loop goes unnoticed: renewals and
// answers are processed late, and the log looks as if the peer were slow.
TEST_CASE("The lag of a blocked event loop is measured") {
  boost::asio::io_context context;
  core::duration max_reported_lag{};
  loop_lag_monitor monitor(&context, [&max_reported_lag](core::duration lag) {
    max_reported_lag = std::max(max_reported_lag, lag);
  });
  monitor.Start();
  const milliseconds block_time = 3 * kLagSampleInterval;
  boost::asio::post(context,
                    [block_time] { std::this_thread::sleep_for(block_time); });
  context.run_for(2 * block_time);
  CHECK(max_reported_lag >= block_time - kLagSampleInterval);
  CHECK(monitor.TakeMaxLag() == max_reported_lag);
  CHECK(monitor.TakeMaxLag() == core::duration::zero());
}

}  // namespace
}  // namespace plantainhead::jobs

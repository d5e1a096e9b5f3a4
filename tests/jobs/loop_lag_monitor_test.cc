#include "jobs/loop_lag_monitor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;

// Nothing tells of a loop that is busy for long: renewals and answers are late,
// and their lines look as if the peer was slow.
TEST_CASE("A loop that is held up tells for how long") {
  boost::asio::io_context context;
  core::duration told{};
  loop_watch watch(&context,
                   [&told](core::duration lag) { told = std::max(told, lag); });
  watch.Start();
  const milliseconds held_up = 3 * kLoopLook;
  boost::asio::post(context,
                    [held_up] { std::this_thread::sleep_for(held_up); });
  context.run_for(2 * held_up);
  CHECK(told >= held_up - kLoopLook);
  CHECK(watch.TakeMost() == told);
  CHECK(watch.TakeMost() == core::duration::zero());
}

}  // namespace
}  // namespace plantainhead::jobs

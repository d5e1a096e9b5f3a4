#ifndef PLANTAINHEAD_TESTS_RUN_UNTIL_H_
#define PLANTAINHEAD_TESTS_RUN_UNTIL_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace plantainhead::testing {

/// Runs the context until `is_done` returns true, and returns whether it did.
/// The time limit only ends a test that would otherwise hang; no test depends
/// on how long this takes.
inline bool RunUntil(boost::asio::io_context* context,
                     const std::function<bool()>& is_done) {
  constexpr auto kLimit = std::chrono::seconds(60);
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!is_done() && std::chrono::steady_clock::now() < end) {
    context->restart();
    context->run_one_for(std::chrono::milliseconds(20));
  }
  return is_done();
}

}  // namespace plantainhead::testing

#endif  // PLANTAINHEAD_TESTS_RUN_UNTIL_H_

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "core/requests/request_cluster.h"

namespace plantainhead::core {
namespace {

/// Derives a sequence of small numbers from a random word.
class step_reader {
 public:
  explicit step_reader(std::uint32_t word) : word_(word) {}

  std::size_t Next(std::uint32_t below) {
    const std::uint32_t value = word_ % below;
    word_ /= below;
    return value;
  }

 private:
  std::uint32_t word_;
};

void Step(request_cluster& cluster, std::uint32_t word) {
  step_reader read(word);
  const std::size_t kind = read.Next(20);
  const std::size_t at = read.Next(request_cluster::kEntries);
  const std::size_t other = read.Next(request_cluster::kEntries);
  const std::size_t choice = read.Next(840);
  if (kind < 5) {
    cluster.Arrive(at, choice);
  } else if (kind < 10) {
    cluster.Deliver(at, other, choice % 8 == 0);
  } else if (kind < 13) {
    cluster.EndCall(choice / 7, choice % 7);
  } else if (kind < 15) {
    cluster.Claim(at, choice % 8 == 0);
  } else if (kind == 15) {
    cluster.AdvanceTime(milliseconds(20 + choice % 4 * 30));
  } else if (kind == 16) {
    cluster.Disconnect(at, other);
  } else if (kind == 17) {
    cluster.Suspect(at, other, choice % 2 == 0);
  } else if (kind == 18) {
    cluster.Freeze(at, choice % 3 == 0);
    cluster.DisconnectCaller(other, choice);
  } else if (choice % 2 == 0) {
    cluster.ChangeView(at);
  } else {
    cluster.ChangeListing(choice);
  }
}

// Each caller gets exactly one answer, never a false not-run and never the
// answer to another request, and no request that is not idempotent runs twice,
// for any order of arrivals, messages, answers, failures, lost connections,
// pauses and changes of the view.
TEST_CASE("The invariants hold for any order of events") {
  const bool held = rc::check("any order of events", [] {
    const auto words = *rc::gen::resize(
        600, rc::gen::container<std::vector<std::uint32_t>>(
                 rc::gen::inRange<std::uint32_t>(0, 1u << 31)));
    request_cluster cluster;
    for (const std::uint32_t word : words) {
      Step(cluster, word);
    }
    cluster.Settle();
  });
  CHECK(held);
}

}  // namespace
}  // namespace plantainhead::core

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "scheduler_run.h"

namespace plantainhead {
namespace {

using testing::scheduler_run;
using testing::tcp_socket;

constexpr long kMaxMemoryGrowthKib = 24L * 1024;
constexpr long kMaxDescriptorGrowth = 150;
constexpr std::size_t kKib = 1024;

const std::string kHead =
    "POST /q/00000000000000aa HTTP/1.1\r\nHost: a.example\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

/// Clients that keep their connections open.
class crowd {
 public:
  explicit crowd(std::string address) : address_(std::move(address)) {}

  /// Each of `count` clients sends `begin`, then `piece` `repeats` times, until
  /// its connection is closed.
  void Send(int count,
            const std::string& begin,
            const std::string& piece = "",
            std::size_t repeats = 0) {
    for (int i = 0; i < count; ++i) {
      sockets_.push_back(testing::Connect(&context_, address_));
      boost::system::error_code closed;
      boost::asio::write(sockets_.back(), boost::asio::buffer(begin), closed);
      for (std::size_t sent = 0; sent < repeats && !closed; ++sent) {
        boost::asio::write(sockets_.back(), boost::asio::buffer(piece), closed);
      }
    }
  }

 private:
  std::string address_;
  boost::asio::io_context context_;
  std::vector<tcp_socket> sockets_;
};

std::string Repeat(const std::string& text, std::size_t times) {
  std::string result;
  for (std::size_t i = 0; i < times; ++i) {
    result += text;
  }
  return result;
}

void CheckOrdinaryRequests(scheduler_run* process) {
  CHECK(testing::Ask(process->callers,
                     kHead + "Content-Type: application/json\r\n"
                             "Content-Length: 75\r\n\r\n"
                             R"({"spec":"x","steps":[{"count":1,"cpu":1000,)"
                             R"("mem_mb":10,"estimate_ms":300}]})") ==
        "HTTP/1.1 200 OK");
  CHECK(process->BecomesReady());
  CHECK(testing::Ask(process->metrics,
                     "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n") ==
        "HTTP/1.1 200 OK");
}

// Guards against clients that exhaust the memory or the descriptors of a
// process with requests that never end.
TEST_CASE("A process survives clients that never end their requests") {
  scheduler_run process;
  REQUIRE(process.BecomesReady());
  const long memory = process.PeakMemoryKib();
  const long descriptors = process.OpenDescriptors();
  crowd callers(process.callers);

  SECTION("trailers") {
    callers.Send(8, kChunkedHead + "1\r\nx\r\n0\r\n",
                 Repeat("X-Trailer: " + std::string(52, 'x') + "\r\n", 1000),
                 80);
  }
  SECTION("the extension of a chunk") {
    callers.Send(8, kChunkedHead + "1;x=", std::string(64 * kKib, 'x'), 80);
  }
  SECTION("a header line") {
    callers.Send(8, kHead + "X-Long: ", std::string(64 * kKib, 'x'), 80);
  }
  SECTION("headers") {
    callers.Send(8, kHead,
                 Repeat("X-Header: " + std::string(52, 'x') + "\r\n", 1000),
                 80);
  }
  SECTION("bodies of large chunks that stop short of their end") {
    callers.Send(200, kChunkedHead + "32000\r\n", std::string(kKib, 'x'), 199);
  }
  SECTION("bodies of chunks of one byte that stop short of their end") {
    callers.Send(100, kChunkedHead, Repeat("1\r\nx\r\n", 10 * kKib), 6);
  }

  REQUIRE(scheduler_run::HasReadAll(process.callers));
  REQUIRE(process.IsAlive());
  CheckOrdinaryRequests(&process);
  CHECK(process.PeakMemoryKib() - memory <= kMaxMemoryGrowthKib);
  CHECK(process.OpenDescriptors() - descriptors <= kMaxDescriptorGrowth);
}

// Guards against idle connections that use up the descriptors of a process, or
// keep ordinary callers out.
TEST_CASE("A process survives more connections than it allows") {
  scheduler_run process("http: {connections: 100}\n");
  REQUIRE(process.BecomesReady());
  const long descriptors = process.OpenDescriptors();
  crowd callers(process.callers);
  crowd scrapers(process.metrics);

  SECTION("to the callers' address") {
    callers.Send(300, "");
  }
  SECTION("to the metrics' address") {
    scrapers.Send(300, "");
  }
  SECTION("with requests that never end") {
    callers.Send(300, kHead);
  }

  CheckOrdinaryRequests(&process);
  CHECK(process.OpenDescriptors() - descriptors <= kMaxDescriptorGrowth);
}

}  // namespace
}  // namespace plantainhead

#include "caller/transfer_table.h"

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <thread>

namespace plantainhead::caller {
namespace {

// A stream over one end of a pair of sockets.
class paired_stream {
 public:
  paired_stream() {
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends_) == 0);
    stream_.emplace(ends_[0],
                    transfer_table::clock::now() + std::chrono::hours(1),
                    std::chrono::hours(1));
  }
  ~paired_stream() {
    close(ends_[0]);
    close(ends_[1]);
  }

  endpoint::socket_stream* get() { return &*stream_; }
  bool interrupted() const { return stream_->interrupted(); }

 private:
  int ends_[2] = {-1, -1};
  std::optional<endpoint::socket_stream> stream_;
};

// Guards against bodies that together need more than the memory.
TEST_CASE("Bodies share one budget of bytes") {
  transfer_table table(100);
  paired_stream a;
  paired_stream b;
  paired_stream c;
  std::optional<transfer_table::transfer> first(std::in_place, &table, a.get());
  transfer_table::transfer second(&table, b.get());
  REQUIRE(first->Reserve(40));
  REQUIRE(second.Reserve(40));

  SECTION("in which the one that has waited longest makes room") {
    transfer_table::transfer third(&table, c.get());
    bool got = false;
    std::thread newest([&] { got = third.Reserve(40); });
    char byte = 0;
    CHECK(a.get()->read(&byte, 1) <= 0);
    CHECK(a.interrupted());
    CHECK_FALSE(first->Reserve(1000));
    first.reset();
    newest.join();
    CHECK(got);
    CHECK_FALSE(b.interrupted());
    CHECK(table.held() == 80);
    CHECK(table.interrupted() == 1);
  }

  SECTION("which the one that has waited longest can't exceed") {
    CHECK_FALSE(first->Reserve(40));
    CHECK_FALSE(b.interrupted());
  }

  SECTION("which requests under decision keep") {
    first->StartDeciding();
    second.StartDeciding();
    transfer_table::transfer third(&table, c.get());
    CHECK_FALSE(third.Reserve(40));
    CHECK(third.Reserve(20));
    CHECK(table.interrupted() == 0);
  }

  SECTION("that the answer takes over") {
    first->StartDeciding();
    first->StartWriting(50);
    CHECK(table.held() == 90);
    CHECK_FALSE(b.interrupted());
    // The answer has waited less long than the other request.
    transfer_table::transfer third(&table, c.get());
    third.StartWriting(30);
    CHECK(b.interrupted());
    CHECK_FALSE(a.interrupted());
  }
}

// Guards against slow callers that keep every thread.
TEST_CASE("Exchanges that wait for their callers are interrupted in order") {
  transfer_table table(100);
  paired_stream a;
  paired_stream b;
  paired_stream c;
  transfer_table::transfer first(&table, a.get());
  transfer_table::transfer second(&table, b.get());
  transfer_table::transfer third(&table, c.get());
  first.StartDeciding();

  table.Interrupt(1, std::chrono::hours(1));
  CHECK(table.interrupted() == 0);
  table.Interrupt(1, std::chrono::seconds(0));
  CHECK_FALSE(a.interrupted());
  CHECK(b.interrupted());
  // The one that is ending counts.
  table.Interrupt(1, std::chrono::seconds(0));
  CHECK_FALSE(c.interrupted());
  table.Interrupt(2, std::chrono::seconds(0));
  CHECK(c.interrupted());
}

}  // namespace
}  // namespace plantainhead::caller

#include <httplib.h>

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "crowd/entry_process.h"
#include "loopback.h"
#include "plantainhead/entry/frame_codec.h"

namespace plantainhead::testing {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20U;
// What one sender of a line without end offers.
constexpr std::size_t kOffered = 48 * kMebibyte;
// Growth that the limits below explain, with what the allocator keeps.
constexpr std::size_t kMostGrowth = 32 * kMebibyte;
// Descriptors of an entry beside those of the crowd.
constexpr std::size_t kOwnDescriptors = 64;

const std::string kChunkedHead =
    "POST /s/intake/ HTTP/1.1\r\nHost: entry\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

// Sends `piece` until `most` bytes were sent or the entry has closed.
void SendRepeatedly(const raw_connection& to,
                    const std::string& piece,
                    std::size_t most) {
  for (std::size_t sent = 0; sent < most; sent += piece.size()) {
    if (!to.TrySend(piece)) {
      return;
    }
  }
}

void CheckSound(entry_process* entry, std::size_t before, std::size_t crowd) {
  REQUIRE(entry->IsAlive());
  CHECK(entry->PeakMemory() - before < kMostGrowth);
  CHECK(entry->Descriptors() <= crowd + kOwnDescriptors);
  const raw_connection probe = ConnectTo(entry->http_port());
  probe.Send("GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n");
  CHECK(probe.ReadMessage().find("HTTP/1.1 200 ") == 0);
  const raw_connection caller = ConnectTo(entry->http_port());
  caller.Send(
      "POST /s/nowhere/ HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n"
      "\r\n{}");
  CHECK(caller.ReadMessage().find("Plantain-Reason: unknown-service") !=
        std::string::npos);
}

// Guards against a request whose lines grow until the process has no memory.
TEST_CASE("An entry outlives heads and trailers without end") {
  entry_process entry("");
  const std::size_t before = entry.PeakMemory();
  const std::string filler(64 << 10U, 'x');
  std::string head;
  std::string piece = filler;

  SECTION("a request line") {
    head = "GET /s/";
  }
  SECTION("a header line") {
    head = "GET /s/intake/ HTTP/1.1\r\nX-A: ";
  }
  SECTION("header lines") {
    head = "GET /s/intake/ HTTP/1.1\r\n";
    piece.clear();
    for (int i = 0; i < 4096; ++i) {
      piece += "X-A: some value\r\n";
    }
  }
  SECTION("a body after the first line of HTTP/2") {
    head = "PRI / HTTP/1.1\r\nHost: entry\r\n\r\n";
  }
  SECTION("a line in which a chunk's size is followed by an extension") {
    head = kChunkedHead + "5;";
  }
  SECTION("a chunk's size") {
    head = kChunkedHead;
    piece = std::string(64 << 10U, '0');
  }
  SECTION("a trailer line") {
    head = kChunkedHead + "0\r\nX-A: ";
  }
  SECTION("trailer lines") {
    head = kChunkedHead + "0\r\n";
    piece.clear();
    for (int i = 0; i < 4096; ++i) {
      piece += "X-A: some value\r\n";
    }
  }

  const raw_connection endless = ConnectTo(entry.http_port());
  endless.Send(head);
  SendRepeatedly(endless, piece, kOffered);
  CheckSound(&entry, before, 1);
}

// Guards against many bodies at once that together need more than the memory.
TEST_CASE("An entry outlives many bodies that stop short of their end") {
  constexpr std::size_t kCrowd = 48;
  entry_process entry("  body: 1MiB\n  bodies: 4MiB\n  http-threads: 64\n");
  const std::size_t before = entry.PeakMemory();
  std::vector<raw_connection> crowd;
  std::string most;
  SECTION("in large chunks") {
    most = kChunkedHead + "fffff\r\n" + std::string(kMebibyte - 2, 'x');
  }
  SECTION("in chunks of one byte") {
    most = kChunkedHead;
    for (std::size_t i = 0; i < kMebibyte / 8; ++i) {
      most += "1\r\nx\r\n";
    }
  }
  SECTION("of a known length") {
    most = "POST /s/intake/ HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n" +
           std::string(kMebibyte - 1, 'x');
  }
  for (std::size_t i = 0; i < kCrowd; ++i) {
    crowd.push_back(ConnectTo(entry.http_port()));
    SendRepeatedly(crowd.back(), most, 1);
  }
  CheckSound(&entry, before, kCrowd);
}

// Guards against slow requests that keep all threads from everybody else.
TEST_CASE("An entry answers beside more slow requests than threads") {
  constexpr std::size_t kCrowd = 200;
  entry_process entry("  http-threads: 8\n");
  const std::size_t before = entry.PeakMemory();
  std::string start;
  SECTION("of which only a part of the head arrives") {
    start = "GET /s/intake/ HTTP/1.1\r\nHost:";
  }
  SECTION("of which only a part of the body arrives") {
    start = "POST /s/intake/ HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf";
  }
  std::vector<raw_connection> crowd;
  for (std::size_t i = 0; i < kCrowd; ++i) {
    crowd.push_back(ConnectTo(entry.http_port()));
    crowd.back().Send(start);
  }
  CheckSound(&entry, before, kCrowd);
}

// Guards against frames that are announced as long and never arrive whole.
TEST_CASE("An entry outlives frames that stop short of their end") {
  constexpr std::size_t kCrowd = 48;
  entry_process entry("  frames: 10MiB\n");
  const std::size_t before = entry.PeakMemory();
  const std::string greeting =
      entry::EncodeGreeting(core::incarnation{entry.Incarnation()});
  std::string header = entry::PrependHeader(std::string(8 * kMebibyte, '\0'));
  header.resize(entry::kFrameHeaderSize);
  std::string rest;
  SECTION("at their start") {}
  SECTION("after a part") {
    rest = std::string(kMebibyte, '\0');
  }
  std::vector<raw_connection> crowd;
  for (std::size_t i = 0; i < kCrowd; ++i) {
    crowd.push_back(ConnectTo(entry.peer_port()));
    SendRepeatedly(crowd.back(), greeting + header + rest, 1);
  }
  // What has been announced is known by then.
  entry.AwaitMetric("plantainhead_frame_bytes_received",
                    kCrowd * 2.0 * entry::kFrameHeaderSize);
  CheckSound(&entry, before, kCrowd);
}

}  // namespace
}  // namespace plantainhead::testing

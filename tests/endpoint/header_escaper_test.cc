#include "endpoint/header_escaper.h"

#include <catch2/catch.hpp>
#include <string>

namespace plantainhead::endpoint {
namespace {

// Returns the message with each byte that must be escaped replaced by '!'.
std::string Mark(const std::string& message) {
  header_escaper head;
  std::string marked;
  for (const char byte : message) {
    const bool escape = head.InHead() && head.Consume(byte);
    marked += escape ? '!' : byte;
  }
  return marked;
}

TEST_CASE("Percent signs are found in header lines only") {
  CHECK(Mark("GET /a%20b HTTP/1.1\r\nA: 1%\r\nB: %%\r\n\r\n%") ==
        "GET /a%20b HTTP/1.1\r\nA: 1!\r\nB: !!\r\n\r\n%");

  SECTION("and the head ends only at a blank line with a carriage return") {
    CHECK(Mark("GET / HTTP/1.1\r\n\nA: %\r\n\r\n%") ==
          "GET / HTTP/1.1\r\n\nA: !\r\n\r\n%");
    CHECK(Mark("GET / HTTP/1.1\r\n\r\r\nA: %\r\n\r\n%") ==
          "GET / HTTP/1.1\r\n\r\r\nA: !\r\n\r\n%");
    CHECK(Mark("GET / HTTP/1.1\nA: %\n\r\n%") == "GET / HTTP/1.1\nA: !\n\r\n%");
  }

  SECTION("and an interim response is followed by another head") {
    CHECK(Mark("HTTP/1.1 100 Continue\r\nA: %\r\n\r\n"
               "HTTP/1.1 200 OK 100%\r\nA: %\r\n\r\n%") ==
          "HTTP/1.1 100 Continue\r\nA: !\r\n\r\n"
          "HTTP/1.1 200 OK 100%\r\nA: !\r\n\r\n%");
    CHECK(Mark("HEAD /567 1 HTTP/1.1\r\nA: %\r\n\r\n%") ==
          "HEAD /567 1 HTTP/1.1\r\nA: !\r\n\r\n%");
  }
}

}  // namespace
}  // namespace plantainhead::endpoint

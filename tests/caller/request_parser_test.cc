#include "caller/request_parser.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace plantainhead::caller {
namespace {

using namespace std::chrono_literals;

constexpr core::time_point kNow{1000s};
constexpr patience_limits kLimits{30s, 1h};

core::request_envelope Accept(const raw_request& raw) {
  auto parsed = ParseRequest(raw, kNow, kLimits);
  REQUIRE(std::holds_alternative<core::request_envelope>(parsed));
  return std::get<core::request_envelope>(parsed);
}

std::string RefusalReason(const raw_request& raw) {
  const auto parsed = ParseRequest(raw, kNow, kLimits);
  REQUIRE(std::holds_alternative<refusal>(parsed));
  return std::get<refusal>(parsed).reason;
}

TEST_CASE("A caller's request is read") {
  raw_request raw;
  raw.method = "GET";
  raw.target = "/s/intake/petitions/7?full=%2Fyes";
  raw.remote_ip = "10.0.0.9";

  SECTION("with nothing but a path") {
    const core::request_envelope envelope = Accept(raw);
    CHECK(envelope.service.value() == "intake");
    CHECK(envelope.path == "/petitions/7?full=%2Fyes");
    CHECK(envelope.deadline == kNow + 30s);
    CHECK(envelope.idempotent);
    CHECK(envelope.work.empty());
    CHECK(envelope.caller.value() == "10.0.0.9");
    CHECK_FALSE(envelope.key.has_value());
  }

  SECTION("whose path ends with the service") {
    raw.target = "/s/intake";
    CHECK(Accept(raw).path == "/");
    raw.target = "/s/intake?a=b";
    CHECK(Accept(raw).path == "/?a=b");
    raw.target = "/s//a";
    CHECK(RefusalReason(raw) == "bad-request");
  }

  SECTION("with a deadline") {
    const auto deadline_of = [&](const std::string& text) {
      raw.headers = {{"Plantain-Deadline-Ms", text}};
      return Accept(raw).deadline - kNow;
    };
    CHECK(deadline_of("1") == 1ms);
    CHECK(deadline_of(" 3600000 ") == 1h);

    for (const std::string text :
         {"0", "-1", "3600001", "1.5", "soon", "", "99999999999999999999"}) {
      INFO("deadline '" << text << "'");
      raw.headers = {{"plantain-deadline-ms", text}};
      CHECK(RefusalReason(raw) == "bad-deadline");
    }
  }

  SECTION("and its method says whether it is idempotent") {
    for (const std::string method : {"POST", "PATCH"}) {
      raw.method = method;
      CHECK_FALSE(Accept(raw).idempotent);
    }
    for (const std::string method : {"GET", "PUT", "DELETE", "OPTIONS"}) {
      raw.method = method;
      CHECK(Accept(raw).idempotent);
    }

    SECTION("unless a header says it") {
      raw.method = "POST";
      raw.headers = {{"Plantain-Idempotent", "true"}};
      CHECK(Accept(raw).idempotent);
      raw.method = "PUT";
      raw.headers = {{"Plantain-Idempotent", "false"}};
      CHECK_FALSE(Accept(raw).idempotent);
      raw.headers = {{"Plantain-Idempotent", "maybe"}};
      CHECK(RefusalReason(raw) == "bad-request");
    }
  }

  SECTION("with a key, which counts within the caller's identity") {
    raw.headers = {{"Idempotency-Key", "appeal-7"}};
    const auto by_address = Accept(raw).key;
    raw.headers.emplace_back("Plantain-Caller", "suwon");
    const auto by_name = Accept(raw).key;
    raw.headers.back().second = "goyang";
    const auto by_other_name = Accept(raw).key;

    REQUIRE(by_address.has_value());
    CHECK(by_address != by_name);
    CHECK(by_name != by_other_name);

    raw.headers = {{"Idempotency-Key", std::string(256, 'k')}};
    CHECK(RefusalReason(raw) == "bad-request");
  }

  SECTION("without headers that concern one connection only") {
    raw.headers = {{"Connection", "close, X-Local"},
                   {"x-local", "1"},
                   {"Keep-Alive", "5"},
                   {"TE", "trailers"},
                   {"Content-Length", "3"},
                   {"Accept", "text/html"}};
    const core::header_list kept = Accept(raw).headers;
    REQUIRE(kept.size() == 1);
    CHECK(kept[0].first == "Accept");
  }
}

}  // namespace
}  // namespace plantainhead::caller

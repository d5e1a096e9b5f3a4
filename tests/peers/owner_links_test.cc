#include "peers/owner_links.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "free_address.h"
#include "jobs/clocks.h"
#include "net/address.h"
#include "net/http_server.h"
#include "net/http_status.h"
#include "peers/passed_request.h"
#include "platform/ingress_codec.h"
#include "run_until.h"

namespace plantainhead::peers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FreeAddress;
using testing::RunUntil;

constexpr std::uint32_t kPartition = 3;

/// A process with a link to an owner that a test plays.
struct linked_owner {
  linked_owner() : links(&context, Settings()), address(FreeAddress()) {
    server = std::make_unique<net::http_server>(
        &context, address, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          requests.push_back(request);
          if (status == 0) {
            held.push_back(respond);
          } else {
            respond({status, {}, "answer"});
          }
        });
    links.book().NoteAnnouncement(kPartition, {1, address});
  }

  static owner_client_settings Settings() {
    owner_client_settings settings;
    settings.silence_timeout = milliseconds(200);
    return settings;
  }

  forward_reply Pass(const net::server_request& request) {
    std::optional<forward_reply> reply;
    links.Pass(kPartition, request, seconds(5),
               [&](const forward_reply& got) { reply = got; });
    RunUntil(&context, [&] { return reply.has_value(); });
    return reply.value_or(forward_reply());
  }

  boost::asio::io_context context;
  owner_client links;
  std::string address;
  std::unique_ptr<net::http_server> server;
  std::vector<net::server_request> requests;
  std::vector<net::responder> held;
  /// What the owner answers; 0: nothing.
  unsigned status = net::kOk;
};

net::server_request CallersRequest() {
  net::server_request request;
  request.verb = net::method::kPost;
  request.host = "a.example";
  request.target = "/q/0123456789abcdef";
  request.body = "{}";
  return request;
}

TEST_CASE("A request is passed on as the caller sent it") {
  linked_owner owner;
  const forward_reply reply = owner.Pass(CallersRequest());
  CHECK(reply.outcome == forward_outcome::kAnswered);
  CHECK(reply.status == net::kOk);
  CHECK(reply.body == "answer");
  REQUIRE(owner.requests.size() == 1);
  const net::server_request& passed = owner.requests[0];
  CHECK(passed.verb == net::method::kPost);
  CHECK(passed.host == "a.example");
  CHECK(passed.target == "/q/0123456789abcdef");
  CHECK(passed.body == "{}");
  CHECK(HopCountOf(passed) == 1);
  CHECK(adapter::DecodeTimeout(passed) == milliseconds(5000));
  CHECK(HopCountOf(CallersRequest()) == 0);
}

// What a caller is told rests on these three: after "not taken" it may be told
// that its job won't run; after "unknown" it may not.
TEST_CASE("An owner that gives no answer to a request") {
  linked_owner owner;

  SECTION("has taken nothing when it says that it isn't the owner") {
    owner.status = net::kMisdirected;
    CHECK(owner.Pass(CallersRequest()).outcome ==
          forward_outcome::kNotAccepted);

    SECTION("and is asked nothing for a while") {
      CHECK(owner.Pass(CallersRequest()).outcome ==
            forward_outcome::kNotAccepted);
      CHECK(owner.requests.size() == 1);
    }
  }

  SECTION("has taken nothing when nobody listens there") {
    owner.server.reset();
    CHECK(owner.Pass(CallersRequest()).outcome ==
          forward_outcome::kNotAccepted);
  }

  SECTION("may have taken it when it is silent") {
    owner.status = 0;
    CHECK(owner.Pass(CallersRequest()).outcome == forward_outcome::kUnknown);
    CHECK(owner.requests.size() == 1);
  }

  SECTION("is waited for while it answers others") {
    owner.status = 0;
    std::optional<forward_reply> slow;
    owner.links.Pass(kPartition, CallersRequest(), seconds(5),
                     [&](const forward_reply& got) { slow = got; });
    REQUIRE(RunUntil(&owner.context, [&] { return owner.held.size() == 1; }));
    owner.status = net::kOk;
    const core::time_point until = jobs::BootTime() + milliseconds(600);
    while (jobs::BootTime() < until) {
      owner.Pass(CallersRequest());
    }
    CHECK_FALSE(slow);
    owner.held[0]({net::kOk, {}, "late"});
    REQUIRE(RunUntil(&owner.context, [&] { return slow.has_value(); }));
    CHECK(slow->outcome == forward_outcome::kAnswered);
    CHECK(slow->body == "late");
  }
}

}  // namespace
}  // namespace plantainhead::peers

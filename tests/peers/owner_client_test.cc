#include "peers/owner_client.h"

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
#include "peers/forwarded_request.h"
#include "platform/ingress_codec.h"
#include "run_until.h"

namespace plantainhead::peers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FreeAddress;
using testing::RunUntil;

constexpr std::uint32_t kPartition = 3;

/// An owner client, and a server that acts as the owner of a partition.
struct owner_client_fixture {
  owner_client_fixture()
      : client(&context, Settings()), address(FreeAddress()) {
    server = std::make_unique<net::http_server>(
        &context, address, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          requests.push_back(request);
          if (status == 0) {
            pending_responders.push_back(respond);
          } else {
            respond({status, {}, "answer"});
          }
        });
    client.directory().NoteAnnouncement(kPartition, {1, address});
  }

  static owner_client_settings Settings() {
    owner_client_settings settings;
    settings.silence_timeout = milliseconds(200);
    return settings;
  }

  forward_reply Forward(const net::server_request& request) {
    std::optional<forward_reply> reply;
    client.Forward(kPartition, request, seconds(5),
                   [&](const forward_reply& received) { reply = received; });
    RunUntil(&context, [&] { return reply.has_value(); });
    return reply.value_or(forward_reply());
  }

  boost::asio::io_context context;
  owner_client client;
  std::string address;
  std::unique_ptr<net::http_server> server;
  std::vector<net::server_request> requests;
  std::vector<net::responder> pending_responders;
  /// The HTTP status that the owner answers with; 0 for no answer.
  unsigned status = net::kOk;
};

net::server_request CallerRequest() {
  net::server_request request;
  request.verb = net::method::kPost;
  request.host = "a.example";
  request.target = "/q/0123456789abcdef";
  request.body = "{}";
  return request;
}

TEST_CASE("A request is forwarded as the caller sent it") {
  owner_client_fixture owner;
  const forward_reply reply = owner.Forward(CallerRequest());
  CHECK(reply.outcome == forward_outcome::kAnswered);
  CHECK(reply.status == net::kOk);
  CHECK(reply.body == "answer");
  REQUIRE(owner.requests.size() == 1);
  const net::server_request& forwarded = owner.requests[0];
  CHECK(forwarded.verb == net::method::kPost);
  CHECK(forwarded.host == "a.example");
  CHECK(forwarded.target == "/q/0123456789abcdef");
  CHECK(forwarded.body == "{}");
  CHECK(HopCountOf(forwarded) == 1);
  CHECK(adapter::DecodeTimeout(forwarded) == milliseconds(5000));
  CHECK(HopCountOf(CallerRequest()) == 0);
}

// The outcome determines the answer to the caller: after `kNotAccepted` it may
// be told that its job will not run, after `kUnknown` it may not.
TEST_CASE("An owner that does not answer a request") {
  owner_client_fixture owner;

  SECTION("has not accepted it if it responds that it is not the owner") {
    owner.status = net::kMisdirected;
    CHECK(owner.Forward(CallerRequest()).outcome ==
          forward_outcome::kNotAccepted);

    SECTION("and receives no further requests for some time") {
      CHECK(owner.Forward(CallerRequest()).outcome ==
            forward_outcome::kNotAccepted);
      CHECK(owner.requests.size() == 1);
    }
  }

  SECTION("has not accepted it if no process listens at its address") {
    owner.server.reset();
    CHECK(owner.Forward(CallerRequest()).outcome ==
          forward_outcome::kNotAccepted);
  }

  SECTION("may have accepted it if it answers no request") {
    owner.status = 0;
    CHECK(owner.Forward(CallerRequest()).outcome == forward_outcome::kUnknown);
    CHECK(owner.requests.size() == 1);
  }

  SECTION("is still waited for while it answers other requests") {
    owner.status = 0;
    std::optional<forward_reply> slow;
    owner.client.Forward(
        kPartition, CallerRequest(), seconds(5),
        [&](const forward_reply& received) { slow = received; });
    REQUIRE(RunUntil(&owner.context,
                     [&] { return owner.pending_responders.size() == 1; }));
    owner.status = net::kOk;
    const core::time_point until = jobs::BootTime() + milliseconds(600);
    while (jobs::BootTime() < until) {
      owner.Forward(CallerRequest());
    }
    CHECK_FALSE(slow);
    owner.pending_responders[0]({net::kOk, {}, "late"});
    REQUIRE(RunUntil(&owner.context, [&] { return slow.has_value(); }));
    CHECK(slow->outcome == forward_outcome::kAnswered);
    CHECK(slow->body == "late");
  }
}

}  // namespace
}  // namespace plantainhead::peers

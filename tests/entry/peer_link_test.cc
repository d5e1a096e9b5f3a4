#include "plantainhead/entry/peer_link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <caf/all.hpp>
#include <caf/io/all.hpp>
#include <catch2/catch.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "entry/frame_samples.h"

namespace plantainhead::entry {
namespace {

constexpr std::chrono::seconds kTimeout(20);

// Queues the events that a link posts, in order.
class event_queue {
 public:
  void Post(core::event item) {
    std::lock_guard lock(mutex_);
    events_.push_back(std::move(item));
    changed_.notify_all();
  }

  // Waits for the next event of type `Event` and discards other events.
  template <typename Event>
  Event Await() {
    std::unique_lock lock(mutex_);
    while (true) {
      REQUIRE(changed_.wait_for(lock, kTimeout,
                                [this] { return !events_.empty(); }));
      const core::event item = std::move(events_.front());
      events_.pop_front();
      if (const Event* found = std::get_if<Event>(&item)) {
        return *found;
      }
    }
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<core::event> events_;
};

struct test_system {
  explicit test_system(std::size_t workers = 2) {
    config.load<caf::io::middleman>();
    config.set("scheduler.max-threads", workers);
    system.emplace(config);
  }

  caf::actor_system_config config;
  std::optional<caf::actor_system> system;
};

struct test_entry {
  explicit test_entry(test_system& with, peer_link_options options = {})
      : link(
            *with.system,
            std::move(options),
            [] { return kSampleNow; },
            [this](core::event item) { events.Post(std::move(item)); }),
        port(link.Start()) {}

  event_queue events;
  peer_link link;
  std::uint16_t port;
};

core::send_frame To(std::uint64_t peer,
                    std::uint16_t port,
                    core::peer_frame frame) {
  return {core::incarnation{peer}, "127.0.0.1", port, std::move(frame)};
}

core::peer_frame NumberedCancel(std::uint64_t number) {
  return {core::incarnation{1}, 1,
          core::cancel_forward{{core::incarnation{1}, number}}};
}

std::uint64_t NumberOf(const core::frame_received& item) {
  return std::get<core::cancel_forward>(item.frame.message).id.sequence;
}

// Connects a plain TCP socket to a local port and closes it on destruction.
class raw_socket {
 public:
  explicit raw_socket(std::uint16_t port)
      : handle_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int result = ::connect(handle_, reinterpret_cast<sockaddr*>(&address),
                                 sizeof(address));
    REQUIRE(result == 0);
  }
  ~raw_socket() { ::close(handle_); }

  void Write(std::string_view bytes) {
    REQUIRE(::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }

  // Waits until the remote side has closed both directions. After its end of
  // stream, it replies to another byte with a reset.
  void AwaitEnd() {
    char byte = 0;
    REQUIRE(::recv(handle_, &byte, 1, 0) <= 0);
    ::send(handle_, &byte, 1, MSG_NOSIGNAL);
    pollfd waiting{handle_, 0, 0};
    const auto timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(kTimeout);
    REQUIRE(::poll(&waiting, 1, static_cast<int>(timeout.count())) == 1);
    REQUIRE((waiting.revents & POLLHUP) != 0);
  }

 private:
  int handle_;
};

// Listens on a local port but never accepts a connection.
class raw_listener {
 public:
  explicit raw_listener(int backlog)
      : handle_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(::bind(handle_, generic, size) == 0);
    REQUIRE(::listen(handle_, backlog) == 0);
    REQUIRE(::getsockname(handle_, generic, &size) == 0);
    port_ = ntohs(address.sin_port);
  }
  ~raw_listener() { ::close(handle_); }

  std::uint16_t port() const { return port_; }

 private:
  int handle_;
  std::uint16_t port_ = 0;
};

TEST_CASE("Two entries exchange frames") {
  test_system system;
  test_entry a(system);
  test_entry b(system);

  SECTION("in both directions, of every message type") {
    for (const core::peer_frame& frame : SampleFrames()) {
      a.link.Send(To(2, b.port, frame));
      const auto got = b.events.Await<core::frame_received>();
      CHECK(EncodeFrame(got.frame, kSampleNow) ==
            EncodeFrame(frame, kSampleNow));
    }
    b.link.Send(To(1, a.port, SampleHeartbeat()));
    a.events.Await<core::frame_received>();
    CHECK(a.link.counters().frames_sent == SampleFrames().size());
    CHECK(b.link.counters().frames_received == SampleFrames().size());
  }

  SECTION("of a size that arrives in pieces") {
    core::peer_frame frame = SampleRequest();
    const auto body =
        std::make_shared<const std::string>(std::size_t{1} << 20, 'x');
    std::get<core::forward_request>(frame.message).request.body = body;
    for (int i = 0; i < 3; ++i) {
      a.link.Send(To(2, b.port, frame));
    }
    for (int i = 0; i < 3; ++i) {
      const auto got = b.events.Await<core::frame_received>();
      CHECK(*std::get<core::forward_request>(got.frame.message).request.body ==
            *body);
    }
    CHECK(b.link.counters().evicted == 0);
  }

  SECTION("in the order in which they are sent") {
    constexpr std::uint64_t kFrames = 2000;
    for (std::uint64_t i = 0; i < kFrames; ++i) {
      a.link.Send(To(2, b.port, NumberedCancel(i)));
    }
    for (std::uint64_t i = 0; i < kFrames; ++i) {
      REQUIRE(NumberOf(b.events.Await<core::frame_received>()) == i);
    }
  }
}

// Guards against a client that is not an entry, connects to an entry's port and
// sends arbitrary bytes. Its connection is closed and counted; the connections
// of the entry's peers are not affected.
TEST_CASE("Invalid bytes close only the connection they arrive on") {
  test_system system;
  test_entry a(system);
  test_entry b(system);
  a.link.Send(To(2, b.port, NumberedCancel(1)));
  b.events.Await<core::frame_received>();

  SECTION("when the connection does not start with a greeting") {
    raw_socket unknown_client(b.port);
    unknown_client.Write("GET / HTTP/1.1\r\n\r\n");
    unknown_client.AwaitEnd();
  }

  SECTION("when the header is invalid") {
    raw_socket unknown_client(b.port);
    unknown_client.Write(EncodeGreeting(core::incarnation{2}) +
                         "GET / HTTP/1.1");
    unknown_client.AwaitEnd();
  }

  SECTION("when the payload is invalid") {
    raw_socket unknown_client(b.port);
    unknown_client.Write(EncodeGreeting(core::incarnation{2}) +
                         PrependHeader("this is no table"));
    unknown_client.AwaitEnd();
  }

  SECTION("when a bit of the payload is flipped in transit") {
    std::string bytes = EncodeFrame(SampleReply(), kSampleNow);
    bytes.back() ^= 1;
    raw_socket unknown_client(b.port);
    unknown_client.Write(EncodeGreeting(core::incarnation{2}) + bytes);
    unknown_client.AwaitEnd();
  }

  SECTION("when the payload is empty") {
    raw_socket unknown_client(b.port);
    unknown_client.Write(EncodeGreeting(core::incarnation{2}) +
                         PrependHeader(""));
    unknown_client.AwaitEnd();
  }

  CHECK(b.link.counters().malformed == 1);
  a.link.Send(To(2, b.port, NumberedCancel(2)));
  CHECK(NumberOf(b.events.Await<core::frame_received>()) == 2);
}

// Guards against clients that announce long frames and never send their ends.
TEST_CASE("Frames that arrive only in part are bounded together") {
  test_system system;
  peer_link_options options;
  options.partial_limit = std::size_t{100} << 10;
  test_entry b(system, options);
  constexpr std::size_t kPart = std::size_t{60} << 10;
  const std::string start =
      (EncodeGreeting(core::incarnation{2}) +
       PrependHeader(std::string(std::size_t{1} << 20, '\0')))
          .substr(0, 2 * kFrameHeaderSize + kPart);

  raw_socket first(b.port);
  first.Write(start);
  while (b.link.counters().bytes_received < start.size()) {
    std::this_thread::yield();
  }
  raw_socket second(b.port);
  second.Write(start);
  first.AwaitEnd();
  CHECK(b.link.counters().evicted == 1);

  test_entry a(system);
  a.link.Send(To(2, b.port, NumberedCancel(4)));
  CHECK(NumberOf(b.events.Await<core::frame_received>()) == 4);
  CHECK(b.link.counters().evicted == 1);
}

// Guards against clients that connect and say nothing until no peer can.
TEST_CASE("Connections without a greeting give way to others") {
  test_system system;
  peer_link_options options;
  options.inbound_limit = 2;
  test_entry a(system);
  test_entry b(system, options);
  a.link.Send(To(2, b.port, NumberedCancel(1)));
  b.events.Await<core::frame_received>();
  raw_socket first(b.port);
  raw_socket second(b.port);
  first.AwaitEnd();
  raw_socket third(b.port);
  second.AwaitEnd();
  CHECK(b.link.counters().evicted == 2);
  a.link.Send(To(2, b.port, NumberedCancel(2)));
  CHECK(NumberOf(b.events.Await<core::frame_received>()) == 2);
  CHECK(a.link.counters().disconnects == 0);
}

// An entry waits for responses from a peer that crashes. The link detects that
// the connection has closed and reports it, so that pending requests can be
// answered immediately instead of at their deadlines.
TEST_CASE("An unreachable peer is reported") {
  test_system system;
  test_entry a(system);
  auto b = std::make_unique<test_entry>(system);
  const std::uint16_t port = b->port;

  SECTION("when it stops") {
    a.link.Send(To(2, port, NumberedCancel(1)));
    b->events.Await<core::frame_received>();
    b.reset();
    CHECK(a.events.Await<core::peer_disconnected>().peer ==
          core::incarnation{2});
  }

  SECTION("when no process listens on its port") {
    b.reset();
    a.link.Send(To(2, port, NumberedCancel(1)));
    CHECK(a.events.Await<core::peer_disconnected>().peer ==
          core::incarnation{2});
  }

  SECTION("when its address is not an IP address") {
    a.link.Send({core::incarnation{2}, "nowhere", port, NumberedCancel(1)});
    CHECK(a.events.Await<core::peer_disconnected>().peer ==
          core::incarnation{2});
  }

  SECTION("when the frame exceeds the size limit") {
    core::peer_frame frame = SampleRequest();
    std::get<core::forward_request>(frame.message).request.body =
        std::make_shared<const std::string>(kDefaultFrameLimit, 'x');
    a.link.Send(To(2, port, frame));
    CHECK(a.events.Await<core::peer_disconnected>().peer ==
          core::incarnation{2});
    CHECK(a.link.counters().dropped == 1);
  }
}

// A peer process hangs: its kernel accepts bytes until its buffers are full.
// The send queue for it must stay bounded, and the failure must be reported
// long before the deadlines of the pending requests.
TEST_CASE("A peer that stops reading is disconnected") {
  test_system system;
  peer_link_options options;
  options.queue_limit = std::size_t{1} << 20;
  test_entry a(system, options);
  raw_listener frozen(128);

  core::peer_frame frame = SampleRequest();
  std::get<core::forward_request>(frame.message).request.body =
      std::make_shared<const std::string>(std::size_t{256} << 10, 'x');
  constexpr int kFrames = 400;
  for (int i = 0; i < kFrames; ++i) {
    a.link.Send(To(2, frozen.port(), frame));
  }
  CHECK(a.events.Await<core::peer_disconnected>().peer == core::incarnation{2});
  CHECK(a.link.counters().frames_sent < kFrames);
}

// A network switch fails: packets to a peer are lost and the TCP handshake is
// not answered. The link must fail after its stall timeout instead of the
// kernel's default of two minutes. A listener whose queue is full drops
// handshakes in the same way.
TEST_CASE("A peer that does not answer the handshake is disconnected") {
  test_system system;
  peer_link_options options;
  options.stall_timeout = std::chrono::milliseconds(300);
  test_entry a(system, options);
  raw_listener silent(0);
  raw_socket backlog_filler(silent.port());

  a.link.Send(To(2, silent.port(), NumberedCancel(1)));
  CHECK(a.events.Await<core::peer_disconnected>().peer == core::incarnation{2});
}

// During a rolling update, newer entries send messages that older ones do not
// know. Closing the connection would lose the requests on it each time. The
// stream stays synchronized, so the frame can be skipped.
TEST_CASE("A frame of an unknown message type is skipped") {
  test_system system;
  test_entry b(system);
  raw_socket newer(b.port);
  newer.Write(EncodeGreeting(core::incarnation{2}) + FrameOfUnknownKind() +
              EncodeFrame(NumberedCancel(3), kSampleNow));
  CHECK(NumberOf(b.events.Await<core::frame_received>()) == 3);
  CHECK(b.link.counters().skipped == 1);
  CHECK(b.link.counters().malformed == 0);
}

// An entry crashes and a new process starts on its port. Another entry has not
// yet learned of this and forwards a request to the old incarnation. The new
// process does not own those endpoints; it must not receive the frame, and the
// sender must be notified.
TEST_CASE("A frame for an earlier process on the same port is rejected") {
  test_system system;
  peer_link_options options;
  options.self = core::incarnation{22};
  test_entry restarted(system, options);
  test_entry a(system);

  a.link.Send(To(2, restarted.port, NumberedCancel(1)));
  CHECK(a.events.Await<core::peer_disconnected>().peer == core::incarnation{2});
  a.link.Send(To(22, restarted.port, NumberedCancel(2)));
  CHECK(NumberOf(restarted.events.Await<core::frame_received>()) == 2);
  CHECK(restarted.link.counters().misdirected == 1);
  CHECK(restarted.link.counters().frames_received == 1);
}

TEST_CASE("The number of inbound connections is limited") {
  test_system system;
  peer_link_options options;
  options.inbound_limit = 1;
  test_entry b(system, options);
  test_entry a(system);
  a.link.Send(To(2, b.port, NumberedCancel(1)));
  b.events.Await<core::frame_received>();

  raw_socket one_too_many(b.port);
  one_too_many.AwaitEnd();
  a.link.Send(To(2, b.port, NumberedCancel(2)));
  CHECK(NumberOf(b.events.Await<core::frame_received>()) == 2);
}

TEST_CASE("A link that cannot start throws an exception") {
  SECTION("when the address belongs to another machine") {
    test_system system;
    peer_link_options options;
    options.host = "192.0.2.1";
    CHECK_THROWS_AS(test_entry(system, options), std::runtime_error);
  }

  SECTION("when the actor system has too many workers") {
    test_system system(16);
    CHECK_THROWS_AS(test_entry(system), std::logic_error);
  }
}

}  // namespace
}  // namespace plantainhead::entry

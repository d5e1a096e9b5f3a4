#include "plantainhead/entry/peer_link.h"

#include <stdexcept>
#include <utility>

#include "entry/peer_broker.h"

namespace plantainhead::entry {
namespace {

// By default, CAF starts one worker for each processor. The entry core needs
// one thread; more workers only use memory for their stacks and steal work from
// each other.
constexpr std::size_t kMaxWorkers = 4;

}  // namespace

class peer_link::state {
 public:
  state(caf::actor_system& system, std::shared_ptr<peer_link_shared> shared)
      : system(system), shared(std::move(shared)) {}

  caf::actor_system& system;
  std::shared_ptr<peer_link_shared> shared;
  caf::actor broker;
};

peer_link::peer_link(caf::actor_system& system,
                     peer_link_options options,
                     clock_function now,
                     post_function post) {
  auto shared = std::make_shared<peer_link_shared>();
  shared->options = std::move(options);
  shared->now = std::move(now);
  shared->post = std::move(post);
  state_ = std::make_shared<state>(system, std::move(shared));
}

peer_link::~peer_link() {
  Stop();
}

std::uint16_t peer_link::Start() {
  if (!state_->system.has_middleman()) {
    throw std::logic_error("actor system has not loaded caf::io::middleman");
  }
  if (state_->system.scheduler().num_workers() > kMaxWorkers) {
    throw std::logic_error(
        "scheduler.max-threads exceeds the maximum number of workers, " +
        std::to_string(kMaxWorkers));
  }
  // The broker is spawned by its class, on the I/O thread. The middleman's own
  // spawn functions accept only functions, so that the state would have to be
  // kept in lambdas.
  caf::actor_config config{&state_->system.middleman().backend()};
  state_->broker =
      state_->system.spawn_class<peer_broker, caf::no_spawn_options>(
          config, state_->shared);
  caf::scoped_actor self(state_->system);
  std::uint16_t port = 0;
  std::string failure;
  self->request(state_->broker, caf::infinite, listen_atom::value)
      .receive([&](std::uint16_t bound) { port = bound; },
               [&](const caf::error& error) {
                 failure = state_->system.render(error);
               });
  if (!failure.empty()) {
    throw std::runtime_error(
        "cannot listen on " + state_->shared->options.host + ":" +
        std::to_string(state_->shared->options.port) + ": " + failure);
  }
  return port;
}

void peer_link::Send(const core::send_frame& item) {
  if (!state_->broker) {
    return;
  }
  outgoing_frame frame{item.to, item.host, item.port, {}};
  try {
    frame.bytes = EncodeFrame(item.frame, state_->shared->now(),
                              state_->shared->options.frame_limit);
  } catch (const frame_error&) {
    ++state_->shared->counters.dropped;
    state_->shared->post(core::peer_disconnected{item.to});
    return;
  }
  caf::anon_send(state_->broker, std::move(frame));
}

void peer_link::Stop() {
  if (!state_->broker) {
    return;
  }
  caf::anon_send_exit(state_->broker, caf::exit_reason::user_shutdown);
  caf::scoped_actor self(state_->system);
  self->wait_for(state_->broker);
  state_->broker = nullptr;
}

peer_link_counters peer_link::counters() const {
  const atomic_counters& from = state_->shared->counters;
  return {from.frames_sent,    from.frames_received, from.bytes_sent,
          from.bytes_received, from.malformed,       from.misdirected,
          from.evicted,        from.skipped,         from.dropped,
          from.disconnects};
}

}  // namespace plantainhead::entry

#include "entry/peer_broker.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "entry/peer_socket.h"

namespace plantainhead::entry {
namespace {

// CAF derives the handle of a connection from its socket descriptor
// (conn_hdl_from_socket).
int SocketOf(caf::io::connection_handle handle) {
  return static_cast<int>(handle.id());
}

// CAF allocates what it is told to read before any of it arrives. Longer
// payloads are read in pieces of this size.
constexpr std::size_t kPiece = std::size_t{16} << 10;

}  // namespace

using caf::io::connection_handle;
using caf::io::receive_policy;

peer_broker::peer_broker(caf::actor_config& config,
                         std::shared_ptr<peer_link_shared> shared)
    : caf::io::broker(config), shared_(std::move(shared)) {}

caf::behavior peer_broker::make_behavior() {
  return {
      [this](listen_atom) { return Listen(); },
      [this](const outgoing_frame& frame) { SendFrame(frame); },
      [this](const backoff_expired& item) { peers_.erase(item.peer); },
      [this](const caf::io::new_connection_msg& item) { Accept(item.handle); },
      [this](const caf::io::new_data_msg& item) { OnData(item); },
      [this](const caf::io::data_transferred_msg& item) {
        const auto found = outgoing_.find(item.handle);
        if (found != outgoing_.end()) {
          peers_[found->second].unsent = item.remaining;
        }
      },
      [this](const caf::io::connection_closed_msg& item) {
        OnConnectionClosed(item.handle);
      },
  };
}

caf::result<std::uint16_t> peer_broker::Listen() {
  const peer_link_options& options = shared_->options;
  auto doorman = add_tcp_doorman(options.port, options.host.c_str(), true);
  if (!doorman) {
    return std::move(doorman.error());
  }
  return doorman->second;
}

void peer_broker::SendFrame(const outgoing_frame& frame) {
  const auto [found, is_new] = peers_.try_emplace(frame.to);
  outgoing_connection& peer = found->second;
  if (is_new && !Connect(frame, peer)) {
    CountDroppedFrame(frame.to);
    OnPeerDisconnected(frame.to);
    return;
  }
  if (!peer.handle) {
    CountDroppedFrame(frame.to);
    return;
  }
  if (peer.unsent + frame.bytes.size() > shared_->options.queue_limit) {
    // If a peer stops reading, its queue would grow until this entry runs out
    // of memory. The queued frames are outdated by then, so the entire queue is
    // discarded with the connection.
    CountDroppedFrame(frame.to);
    Abort(SocketOf(*peer.handle));
    OnPeerDisconnected(frame.to);
    return;
  }
  peer.unsent += frame.bytes.size();
  write(*peer.handle, frame.bytes.size(), frame.bytes.data());
  flush(*peer.handle);
  ++shared_->counters.frames_sent;
  shared_->counters.bytes_sent += frame.bytes.size();
}

bool peer_broker::Connect(const outgoing_frame& frame,
                          outgoing_connection& peer) {
  const std::optional<int> socket =
      StartConnecting(frame.host, frame.port, shared_->options.stall_timeout);
  if (!socket) {
    return false;
  }
  peer.handle = add_scribe(*socket);
  outgoing_.emplace(*peer.handle, frame.to);
  ack_writes(*peer.handle, true);
  // The peer sends no data on this connection; reading detects when it closes.
  configure_read(*peer.handle, receive_policy::at_most(1));
  const std::string greeting = EncodeGreeting(frame.to);
  write(*peer.handle, greeting.size(), greeting.data());
  return true;
}

void peer_broker::Accept(connection_handle handle) {
  if (incoming_.size() >= shared_->options.inbound_limit && !EvictOne()) {
    ++shared_->counters.evicted;
    RejectConnection(handle);
    return;
  }
  incoming_connection& incoming = incoming_[handle];
  incoming.order = next_order_++;
  partial_bytes_ += incoming.payload.capacity();
  configure_read(handle, receive_policy::exactly(kFrameHeaderSize));
}

void peer_broker::OnData(const caf::io::new_data_msg& data) {
  const auto found = incoming_.find(data.handle);
  if (found == incoming_.end()) {
    return;
  }
  shared_->counters.bytes_received += data.buf.size();
  incoming_connection& incoming = found->second;
  try {
    if (!incoming.greeting_received) {
      ReadGreeting(data, incoming);
    } else if (!incoming.header) {
      ReadHeader(data.handle, {data.buf.data(), data.buf.size()}, incoming);
    } else {
      ReadPayload(data.handle, {data.buf.data(), data.buf.size()}, incoming);
    }
  } catch (const frame_error&) {
    // The stream is no longer synchronized, so the start of the next frame is
    // unknown.
    ++shared_->counters.malformed;
    RejectConnection(data.handle);
  }
}

void peer_broker::ReadGreeting(const caf::io::new_data_msg& data,
                               incoming_connection& incoming) {
  const core::incarnation to =
      DecodeGreeting({data.buf.data(), data.buf.size()});
  const core::incarnation self = shared_->options.self;
  incoming.greeting_received = true;
  if (self == core::incarnation::kNone || to == self) {
    return;
  }
  // A restarted entry listens on the same port as its previous incarnation.
  // Peers that have not yet learned of the restart would forward requests for
  // endpoints that this process does not own. Closing the connection makes them
  // choose another route.
  ++shared_->counters.misdirected;
  RejectConnection(data.handle);
}

void peer_broker::RejectConnection(connection_handle handle) {
  ForgetIncoming(handle);
  // CAF's graceful close shuts down one direction and waits until the remote
  // side closes the other, so that a client that keeps its socket open would
  // occupy a descriptor indefinitely. After a shutdown of both directions, the
  // next read reports the end of the stream and CAF closes the socket.
  configure_read(handle, receive_policy::at_most(1));
  Abort(SocketOf(handle));
}

void peer_broker::ReadHeader(connection_handle handle,
                             std::string_view bytes,
                             incoming_connection& incoming) {
  incoming.header = DecodeHeader(bytes, shared_->options.frame_limit);
  incoming.order = next_order_++;
  AwaitPayload(handle, incoming);
}

void peer_broker::AwaitPayload(connection_handle handle,
                               const incoming_connection& incoming) {
  const std::size_t size = incoming.header->payload_size;
  configure_read(handle, size <= kPiece
                             ? receive_policy::exactly(size)
                             : receive_policy::at_most(std::min(
                                   kPiece, size - incoming.payload.size())));
}

void peer_broker::ReadPayload(connection_handle handle,
                              std::string_view bytes,
                              incoming_connection& incoming) {
  const frame_header header = *incoming.header;
  if (bytes.size() < header.payload_size) {
    if (!GrowPayload(handle, incoming.payload.size() + bytes.size(),
                     incoming)) {
      return;
    }
    incoming.payload.append(bytes);
    if (incoming.payload.size() < header.payload_size) {
      AwaitPayload(handle, incoming);
      return;
    }
    bytes = incoming.payload;
  }
  DeliverFrame(header, bytes);
  partial_bytes_ -= incoming.payload.capacity();
  incoming.payload = std::string();
  partial_bytes_ += incoming.payload.capacity();
  incoming.header.reset();
  configure_read(handle, receive_policy::exactly(kFrameHeaderSize));
}

bool peer_broker::GrowPayload(connection_handle handle,
                              std::size_t size,
                              incoming_connection& incoming) {
  const std::size_t held = incoming.payload.capacity();
  if (size <= held) {
    return true;
  }
  const std::size_t wanted = std::max(
      size, std::min<std::size_t>(2 * held, incoming.header->payload_size));
  while (partial_bytes_ + wanted - held > shared_->options.partial_limit) {
    const auto oldest = FindOldest([](const incoming_connection& item) {
      return item.header && !item.payload.empty();
    });
    // If no other holds anything, the frame alone exceeds the limit.
    const connection_handle victim =
        oldest == incoming_.end() ? handle : oldest->first;
    ++shared_->counters.evicted;
    RejectConnection(victim);
    if (victim == handle) {
      return false;
    }
  }
  incoming.payload.reserve(wanted);
  partial_bytes_ += incoming.payload.capacity() - held;
  return true;
}

void peer_broker::DeliverFrame(const frame_header& header,
                               std::string_view payload) {
  try {
    core::peer_frame frame = DecodePayload(header, payload, shared_->now());
    ++shared_->counters.frames_received;
    shared_->post(core::frame_received{std::move(frame)});
  } catch (const frame_error& error) {
    if (error.fault() != frame_fault::kUnknownMessage) {
      throw;
    }
    ++shared_->counters.skipped;
  }
}

void peer_broker::ForgetIncoming(connection_handle handle) {
  const auto found = incoming_.find(handle);
  if (found != incoming_.end()) {
    partial_bytes_ -= found->second.payload.capacity();
    incoming_.erase(found);
  }
}

template <typename Condition>
peer_broker::incoming_map::iterator peer_broker::FindOldest(Condition holds) {
  auto oldest = incoming_.end();
  for (auto it = incoming_.begin(); it != incoming_.end(); ++it) {
    const bool older =
        oldest == incoming_.end() || it->second.order < oldest->second.order;
    if (older && holds(it->second)) {
      oldest = it;
    }
  }
  return oldest;
}

bool peer_broker::EvictOne() {
  auto victim = FindOldest(
      [](const incoming_connection& item) { return !item.greeting_received; });
  if (victim == incoming_.end()) {
    victim = FindOldest([](const incoming_connection& item) {
      return item.header.has_value();
    });
  }
  if (victim == incoming_.end()) {
    return false;
  }
  ++shared_->counters.evicted;
  RejectConnection(victim->first);
  return true;
}

void peer_broker::OnConnectionClosed(connection_handle handle) {
  ForgetIncoming(handle);
  const auto found = outgoing_.find(handle);
  if (found != outgoing_.end()) {
    const core::incarnation peer = found->second;
    OnPeerDisconnected(peer);
  }
}

void peer_broker::OnPeerDisconnected(core::incarnation peer) {
  outgoing_connection& lost = peers_[peer];
  if (lost.handle) {
    outgoing_.erase(*lost.handle);
  }
  lost = outgoing_connection{};
  ++shared_->counters.disconnects;
  shared_->post(core::peer_disconnected{peer});
  delayed_send(this, shared_->options.reconnect_backoff, backoff_expired{peer});
}

void peer_broker::CountDroppedFrame(core::incarnation peer) {
  ++shared_->counters.dropped;
  shared_->post(core::peer_disconnected{peer});
}

}  // namespace plantainhead::entry

#ifndef PLANTAINHEAD_ENTRY_PEER_BROKER_H_
#define PLANTAINHEAD_ENTRY_PEER_BROKER_H_

#include <atomic>
#include <caf/all.hpp>
#include <caf/io/all.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "plantainhead/entry/peer_link.h"

namespace plantainhead::entry {

/// Atomic form of `peer_link_counters`, so that any thread can read the
/// counters while they are updated.
struct atomic_counters {
  std::atomic<std::uint64_t> frames_sent{0};
  std::atomic<std::uint64_t> frames_received{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> malformed{0};
  std::atomic<std::uint64_t> misdirected{0};
  std::atomic<std::uint64_t> evicted{0};
  std::atomic<std::uint64_t> skipped{0};
  std::atomic<std::uint64_t> dropped{0};
  std::atomic<std::uint64_t> disconnects{0};
};

/// Holds the options, callbacks and counters that a `peer_link` shares with its
/// broker.
struct peer_link_shared {
  peer_link_options options;
  peer_link::clock_function now;
  peer_link::post_function post;
  atomic_counters counters;
};

/// Message to the broker that queues an encoded frame for a peer.
struct outgoing_frame {
  core::incarnation to = core::incarnation::kNone;
  std::string host;
  std::uint16_t port = 0;
  std::string bytes;
};

/// Message that makes the broker start listening and reply with the port.
using listen_atom = caf::atom_constant<caf::atom("listen")>;

/// Message from the broker to itself when the reconnect backoff of a peer has
/// expired.
struct backoff_expired {
  core::incarnation peer = core::incarnation::kNone;
};

/// Owns the sockets of one `peer_link` and sends and receives its frames. Runs
/// in CAF's I/O thread.
class peer_broker : public caf::io::broker {
 public:
  peer_broker(caf::actor_config& config,
              std::shared_ptr<peer_link_shared> shared);

 protected:
  caf::behavior make_behavior() override;

 private:
  // Has no handle during the backoff after a lost connection.
  struct outgoing_connection {
    std::optional<caf::io::connection_handle> handle;
    std::size_t unsent = 0;
  };

  struct incoming_connection {
    bool greeting_received = false;
    // Set after the header has been received, until the payload arrives.
    std::optional<frame_header> header;
    // The part of the payload that has arrived.
    std::string payload;
    // Orders the connections by the time for which they have been incomplete.
    std::uint64_t order = 0;
  };
  using incoming_map =
      std::map<caf::io::connection_handle, incoming_connection>;

  caf::result<std::uint16_t> Listen();
  void SendFrame(const outgoing_frame& frame);
  bool Connect(const outgoing_frame& frame, outgoing_connection& peer);
  void Accept(caf::io::connection_handle handle);
  void OnData(const caf::io::new_data_msg& data);
  void ReadGreeting(const caf::io::new_data_msg& data,
                    incoming_connection& incoming);
  void ReadHeader(caf::io::connection_handle handle,
                  std::string_view bytes,
                  incoming_connection& incoming);
  void ReadPayload(caf::io::connection_handle handle,
                   std::string_view bytes,
                   incoming_connection& incoming);
  void DeliverFrame(const frame_header& header, std::string_view payload);
  void AwaitPayload(caf::io::connection_handle handle,
                    const incoming_connection& incoming);
  // Makes room for `size` bytes of the connection's payload. Returns false if
  // the connection was closed for it.
  bool GrowPayload(caf::io::connection_handle handle,
                   std::size_t size,
                   incoming_connection& incoming);
  void ForgetIncoming(caf::io::connection_handle handle);
  template <typename Condition>
  incoming_map::iterator FindOldest(Condition holds);
  // Closes a connection that keeps a place without use. Returns false if there
  // is none.
  bool EvictOne();
  void RejectConnection(caf::io::connection_handle handle);
  void OnConnectionClosed(caf::io::connection_handle handle);
  void OnPeerDisconnected(core::incarnation peer);
  void CountDroppedFrame(core::incarnation peer);

  std::shared_ptr<peer_link_shared> shared_;
  std::map<core::incarnation, outgoing_connection> peers_;
  std::map<caf::io::connection_handle, core::incarnation> outgoing_;
  incoming_map incoming_;
  std::uint64_t next_order_ = 0;
  // Bytes allocated for payloads that have arrived in part.
  std::size_t partial_bytes_ = 0;
};

}  // namespace plantainhead::entry

// These messages never leave the process, so they need no serialization.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::entry::outgoing_frame)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(plantainhead::entry::backoff_expired)

#endif  // PLANTAINHEAD_ENTRY_PEER_BROKER_H_

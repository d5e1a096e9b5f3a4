#ifndef PLANTAINHEAD_SRC_PLATFORM_STREAM_READER_H_
#define PLANTAINHEAD_SRC_PLATFORM_STREAM_READER_H_

#include <string>

#include "platform/link_worker.h"

namespace plantainhead::platform {

/// Reads one stream by long polls.
class stream_reader : public link_worker {
 public:
  stream_reader(link_context* context, core::follow_stream what);

  /// The body of the actor.
  void Run(caf::blocking_actor* self);

 private:
  std::string NextPath() const;
  // Posts what was read, and sets where and when to read next.
  void Handle(const http_reply& reply);
  void HandleFailure(std::string detail);
  void HandleRead(core::log_read read);

  const core::stream_name stream_;
  // Offset of the newest record that was posted.
  core::log_offset after_ = 0;
  // True when nothing was read since the stream was followed or lost: the next
  // read then tells at once where the stream ends.
  bool read_without_wait_ = true;
  core::duration next_read_delay_{};
  backoff backoff_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_STREAM_READER_H_

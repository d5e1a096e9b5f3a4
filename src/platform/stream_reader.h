#ifndef PLANTAINHEAD_SRC_PLATFORM_STREAM_READER_H_
#define PLANTAINHEAD_SRC_PLATFORM_STREAM_READER_H_

#include <string>

#include "platform/link_worker.h"

namespace plantainhead::platform {

/// Follows one stream of the log with long polls and posts what it reads.
class stream_reader : public link_worker {
 public:
  stream_reader(link_context* context, core::follow_stream what);

  /// Runs the read loop of the actor until the worker is stopped.
  void Run(caf::blocking_actor* self);

 private:
  std::string NextPath() const;
  // Posts the result of a read and sets the offset and delay of the next read.
  void Handle(const http_reply& reply);
  void HandleFailure(std::string detail);
  void HandleRead(core::log_read read);

  const core::stream_name stream_;
  // Offset of the newest record that was posted.
  core::log_offset after_ = 0;
  // True until the first successful read after the stream was followed, a read
  // failed, or the stream was found shorter than what was read. The next read
  // then returns the end of the stream immediately instead of waiting for a
  // record.
  bool read_without_wait_ = true;
  core::duration next_read_delay_{};
  backoff backoff_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_STREAM_READER_H_

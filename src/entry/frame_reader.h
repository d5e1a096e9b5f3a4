#ifndef PLANTAINHEAD_ENTRY_FRAME_READER_H_
#define PLANTAINHEAD_ENTRY_FRAME_READER_H_

#include <string_view>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/time.h"

namespace plantainhead::entry {

/// Decodes the frame in `payload`. Throws `frame_error` if it is not valid.
/// Precondition: `payload` starts at an address that is a multiple of 8.
/// Thread safety: safe from any thread.
core::peer_frame ReadFrame(std::string_view payload, core::time_point now);

}  // namespace plantainhead::entry

#endif  // PLANTAINHEAD_ENTRY_FRAME_READER_H_

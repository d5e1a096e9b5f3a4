#ifndef PLANTAINHEAD_ENTRY_FRAME_WRITER_H_
#define PLANTAINHEAD_ENTRY_FRAME_WRITER_H_

#include <flatbuffers/flatbuffers.h>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/time.h"

namespace plantainhead::entry {

/// Builds the payload of `frame` in `builder` and finishes the buffer.
/// Thread safety: safe as long as no other thread uses `builder`.
void WriteFrame(const core::peer_frame& frame,
                core::time_point now,
                flatbuffers::FlatBufferBuilder& builder);

}  // namespace plantainhead::entry

#endif  // PLANTAINHEAD_ENTRY_FRAME_WRITER_H_

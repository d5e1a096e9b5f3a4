#ifndef PLANTAINHEAD_ENTRY_FRAME_WRITER_H_
#define PLANTAINHEAD_ENTRY_FRAME_WRITER_H_

#include <flatbuffers/flatbuffers.h>

#include "plantainhead/core/entry/messages.h"
#include "plantainhead/core/time.h"

namespace plantainhead::entry {

/// Builds the payload of `frame` in `builder` and finishes it.
/// Thread safety: safe while nobody else uses `builder`.
void WriteFrame(const core::peer_frame& frame,
                core::time_point now,
                flatbuffers::FlatBufferBuilder& builder);

}  // namespace plantainhead::entry

#endif  // PLANTAINHEAD_ENTRY_FRAME_WRITER_H_

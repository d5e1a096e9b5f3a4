#ifndef PLANTAINHEAD_CALLER_BODY_READER_H_
#define PLANTAINHEAD_CALLER_BODY_READER_H_

#include <httplib.h>

#include <cstddef>
#include <functional>
#include <string>

namespace plantainhead::caller {

/// Why a body could not be read.
enum class body_fault {
  kNone,
  /// The connection ended, or the time for reading ran out.
  kEndedEarly,
  /// The chunks aren't what HTTP allows.
  kMalformed,
  kTooLarge,
  /// The chunk extensions and trailers have too many bytes.
  kFramingTooLarge,
  /// `reserve` gave no memory.
  kNoMemory,
};

/// Bounds of one body in bytes.
struct body_limits {
  std::size_t body;
  /// Chunk extensions and trailers of one body together.
  std::size_t framing;
};

/// Reads the body of one request. cpp-httplib's own reader takes chunk lines
/// and trailers of any length.
/// Thread safety: none.
class body_reader {
 public:
  /// `reserve` is asked before memory is allocated; it may refuse.
  /// Precondition: `stream` outlives the reader.
  body_reader(httplib::Stream* stream,
              body_limits limits,
              std::function<bool(std::size_t)> reserve);

  /// Reads exactly `length` bytes.
  body_fault ReadLength(std::size_t length, std::string* body);

  /// Reads chunks up to the end of the trailers, which are dropped.
  body_fault ReadChunked(std::string* body);

 private:
  body_fault Append(std::size_t size, std::size_t most, std::string* body);
  body_fault Grow(std::size_t size, std::size_t most, std::string* body);
  body_fault ReadByte(char* byte);
  body_fault ReadLineEnd();
  body_fault ReadChunkSize(std::size_t* size);
  // Reads to the end of a line; `*empty` tells whether nothing was on it.
  body_fault SkipLine(bool* empty);
  body_fault SkipTrailers();

  httplib::Stream* const stream_;
  const body_limits limits_;
  const std::function<bool(std::size_t)> reserve_;
  std::size_t framing_ = 0;
};

}  // namespace plantainhead::caller

#endif  // PLANTAINHEAD_CALLER_BODY_READER_H_

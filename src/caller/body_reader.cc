#include "caller/body_reader.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace plantainhead::caller {
namespace {

constexpr std::size_t kPiece = std::size_t{16} << 10U;

// Digits of a chunk's size, zeros in front included.
constexpr int kMostDigits = 15;

std::optional<std::size_t> HexDigit(char c) {
  constexpr std::size_t kTen = 10;
  if (c >= '0' && c <= '9') {
    return static_cast<std::size_t>(c - '0');
  }
  if (c >= 'a' && c <= 'f') {
    return static_cast<std::size_t>(c - 'a') + kTen;
  }
  if (c >= 'A' && c <= 'F') {
    return static_cast<std::size_t>(c - 'A') + kTen;
  }
  return std::nullopt;
}

}  // namespace

body_reader::body_reader(httplib::Stream* stream,
                         body_limits limits,
                         std::function<bool(std::size_t)> reserve)
    : stream_(stream), limits_(limits), reserve_(std::move(reserve)) {}

body_fault body_reader::ReadLength(std::size_t length, std::string* body) {
  if (length > limits_.body) {
    return body_fault::kTooLarge;
  }
  return Append(length, length, body);
}

body_fault body_reader::ReadChunked(std::string* body) {
  while (true) {
    std::size_t size = 0;
    body_fault fault = ReadChunkSize(&size);
    if (fault != body_fault::kNone) {
      return fault;
    }
    if (size == 0) {
      return SkipTrailers();
    }
    if (size > limits_.body - body->size()) {
      return body_fault::kTooLarge;
    }
    fault = Append(size, limits_.body, body);
    if (fault == body_fault::kNone) {
      fault = ReadLineEnd();
    }
    if (fault != body_fault::kNone) {
      return fault;
    }
  }
}

body_fault body_reader::Append(std::size_t size,
                               std::size_t most,
                               std::string* body) {
  while (size > 0) {
    const std::size_t piece = std::min(size, kPiece);
    const body_fault fault = Grow(piece, most, body);
    if (fault != body_fault::kNone) {
      return fault;
    }
    const std::size_t before = body->size();
    body->resize(before + piece);
    const ssize_t count = stream_->read(body->data() + before, piece);
    if (count <= 0) {
      return body_fault::kEndedEarly;
    }
    const auto arrived = static_cast<std::size_t>(count);
    body->resize(before + arrived);
    size -= arrived;
  }
  return body_fault::kNone;
}

body_fault body_reader::Grow(std::size_t size,
                             std::size_t most,
                             std::string* body) {
  const std::size_t needed = body->size() + size;
  if (needed <= body->capacity()) {
    return body_fault::kNone;
  }
  // The old and the new buffer exist together while the bytes are moved.
  const std::size_t capacity =
      std::max(needed, std::min(most, 2 * body->capacity()));
  if (!reserve_(capacity - body->capacity())) {
    return body_fault::kNoMemory;
  }
  body->reserve(capacity);
  return body_fault::kNone;
}

body_fault body_reader::ReadByte(char* byte) {
  return stream_->read(byte, 1) == 1 ? body_fault::kNone
                                     : body_fault::kEndedEarly;
}

body_fault body_reader::ReadLineEnd() {
  for (const char expected : {'\r', '\n'}) {
    char byte = 0;
    if (ReadByte(&byte) != body_fault::kNone) {
      return body_fault::kEndedEarly;
    }
    if (byte != expected) {
      return body_fault::kMalformed;
    }
  }
  return body_fault::kNone;
}

body_fault body_reader::ReadChunkSize(std::size_t* size) {
  constexpr unsigned kBitsPerDigit = 4;
  for (int digits = 0;; ++digits) {
    char byte = 0;
    if (ReadByte(&byte) != body_fault::kNone) {
      return body_fault::kEndedEarly;
    }
    if (const auto digit = HexDigit(byte)) {
      if (digits == kMostDigits) {
        return body_fault::kMalformed;
      }
      *size = (*size << kBitsPerDigit) + *digit;
      continue;
    }
    if (digits == 0) {
      return body_fault::kMalformed;
    }
    if (byte == '\r') {
      return ReadByte(&byte) != body_fault::kNone ? body_fault::kEndedEarly
             : byte == '\n'                       ? body_fault::kNone
                                                  : body_fault::kMalformed;
    }
    const bool extension = byte == ';' || byte == ' ' || byte == '\t';
    bool empty = false;
    return extension ? SkipLine(&empty) : body_fault::kMalformed;
  }
}

body_fault body_reader::SkipLine(bool* empty) {
  char last = 0;
  for (std::size_t size = 0;; ++size) {
    char byte = 0;
    if (ReadByte(&byte) != body_fault::kNone) {
      return body_fault::kEndedEarly;
    }
    if (byte == '\n') {
      *empty = size == 1;
      return last == '\r' ? body_fault::kNone : body_fault::kMalformed;
    }
    if (last == '\r') {
      return body_fault::kMalformed;
    }
    if (byte != '\r' && ++framing_ > limits_.framing) {
      return body_fault::kFramingTooLarge;
    }
    last = byte;
  }
}

body_fault body_reader::SkipTrailers() {
  while (true) {
    bool empty = false;
    const body_fault fault = SkipLine(&empty);
    if (fault != body_fault::kNone || empty) {
      return fault;
    }
  }
}

}  // namespace plantainhead::caller

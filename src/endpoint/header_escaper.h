#ifndef PLANTAINHEAD_ENDPOINT_HEADER_ESCAPER_H_
#define PLANTAINHEAD_ENDPOINT_HEADER_ESCAPER_H_

#include <cstddef>

namespace plantainhead::endpoint {

/// Finds the percent signs in the header lines of an HTTP message, byte by
/// byte, so that the caller can escape them.
///
/// cpp-httplib decodes %XX in header values, so that a sender could inject
/// headers into the forwarded message with an encoded line end. If each such
/// percent sign is passed to the library as "%25", the decoded value equals the
/// value that was sent. The head ends exactly where it ends for the library: at
/// a line that consists of a carriage return and a line feed, and at no other.
/// Thread safety: none.
class header_escaper {
 public:
  /// Resets the parser for a new message.
  void Restart() { *this = {}; }

  /// Returns true until the end of the head has been consumed.
  bool InHead() const { return in_head_; }

  /// Consumes the next byte of the head and returns whether it must be escaped.
  bool Consume(char byte) {
    const bool escape = byte == '%' && !in_start_line_;
    ParseStatus(byte);
    if (byte != '\n') {
      only_carriage_return_ = line_size_ == 0 && byte == '\r';
      ++line_size_;
      return escape;
    }
    const bool blank = only_carriage_return_ && line_size_ == 1;
    if (blank && !in_start_line_) {
      // An interim response (1xx) is followed by another head.
      in_head_ = interim_;
      in_start_line_ = interim_;
      interim_ = false;
    } else {
      in_start_line_ = false;
    }
    line_size_ = 0;
    only_carriage_return_ = false;
    return escape;
  }

 private:
  // Offset of the first digit of the status in "HTTP/1.1 100 Continue". The
  // first two letters distinguish responses from requests: no method that the
  // library supports starts with "HT".
  static constexpr std::size_t kStatusOffset = 9;

  void ParseStatus(char byte) {
    if (!in_start_line_) {
      return;
    }
    if (line_size_ == 0) {
      is_response_ = byte == 'H';
    } else if (line_size_ == 1) {
      is_response_ = is_response_ && byte == 'T';
    } else if (line_size_ == kStatusOffset) {
      interim_ = is_response_ && byte == '1';
    }
  }

  bool in_head_ = true;
  bool in_start_line_ = true;
  bool is_response_ = false;
  bool interim_ = false;
  // True if the current line consists of a single carriage return so far.
  bool only_carriage_return_ = false;
  std::size_t line_size_ = 0;
};

}  // namespace plantainhead::endpoint

#endif  // PLANTAINHEAD_ENDPOINT_HEADER_ESCAPER_H_

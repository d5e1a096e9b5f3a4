#ifndef PLANTAINHEAD_ENDPOINT_HEADER_ESCAPER_H_
#define PLANTAINHEAD_ENDPOINT_HEADER_ESCAPER_H_

#include <cstddef>

namespace plantainhead::endpoint {

/// Finds the percent signs in the header lines of a message, byte by byte.
///
/// cpp-httplib decodes %XX in header values. Who writes an encoded line end
/// into a value then adds headers of his own making to what is passed on. When
/// each such percent sign is handed to the library as "%25", what it decodes is
/// what was sent. The head ends here exactly where it ends for the library: at
/// a line of a carriage return and a line feed, and at no other.
/// Thread safety: none.
class header_escaper {
 public:
  /// A new message begins.
  void Restart() { *this = {}; }

  /// True while the head isn't over.
  bool InHead() const { return in_head_; }

  /// Takes the next byte of the head; returns whether it has to be escaped.
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
      // An interim answer (1xx) is followed by another head.
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
  // Where the first digit of the status stands in "HTTP/1.1 100 Continue". A
  // request is told from an answer by its first two letters: no method that the
  // library knows starts with "HT".
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
  // The line so far is a carriage return alone.
  bool only_carriage_return_ = false;
  std::size_t line_size_ = 0;
};

}  // namespace plantainhead::endpoint

#endif  // PLANTAINHEAD_ENDPOINT_HEADER_ESCAPER_H_

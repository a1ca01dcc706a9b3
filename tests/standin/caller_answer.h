#ifndef STANDIN_CALLER_ANSWER_H_
#define STANDIN_CALLER_ANSWER_H_

#include <cstddef>
#include <string>

namespace peridotarch::standin {

/// Headers by which a caller marks its request and sizes the answer.
inline constexpr const char* kTagHeader = "X-Caller-Tag";
inline constexpr const char* kAnswerBytesHeader = "X-Answer-Bytes";

/// What an answer says of the request that it belongs to.
struct caller_answer {
  std::string tag;
  std::string path;
  std::string instance;
  size_t body_bytes = 0;
  std::string body_hash;
  size_t padding = 0;
  bool failed = false;  ///< The upstream reports that the work failed.
};

/// Returns the answer's text; its padding depends on the tag.
std::string ToText(const caller_answer& reply);

/// Returns whether `text` is, to the last byte, an answer to the request with
/// this tag, path and body that asked for `padding` bytes.
bool IsOwnAnswer(const std::string& text, const std::string& tag,
                 const std::string& path, const std::string& body,
                 size_t padding);

/// Returns the hash of a body as answers carry it.
std::string BodyHash(const std::string& body);

}  // namespace peridotarch::standin

#endif  // STANDIN_CALLER_ANSWER_H_

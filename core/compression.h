#ifndef CORE_COMPRESSION_H_
#define CORE_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace peridotarch {

/// Compresses `text` as one zstd frame. Throws codec_error if that fails.
std::string Compress(std::string_view text, int level);

/// Returns the text of a zstd frame. Throws codec_error if the frame is
/// malformed, does not state the size of its text, or if that is larger than
/// `max_bytes`.
std::string Decompress(std::string_view compressed, size_t max_bytes);

}  // namespace peridotarch

#endif  // CORE_COMPRESSION_H_

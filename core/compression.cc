#include "core/compression.h"

#include <zstd.h>

#include "core/error.h"

namespace peridotarch {

std::string Compress(std::string_view text, int level) {
  std::string out(ZSTD_compressBound(text.size()), '\0');
  const size_t size =
      ZSTD_compress(out.data(), out.size(), text.data(), text.size(), level);
  if (ZSTD_isError(size) != 0) {
    throw codec_error("data cannot be compressed");
  }
  out.resize(size);
  return out;
}

std::string Decompress(std::string_view compressed, size_t max_bytes) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (size > max_bytes) {  // zstd's two error values are larger.
    throw codec_error("compressed data is malformed or too large");
  }
  std::string out(size, '\0');
  const size_t got = ZSTD_decompress(out.data(), out.size(), compressed.data(),
                                     compressed.size());
  if (ZSTD_isError(got) != 0 || got != size) {
    throw codec_error("data cannot be decompressed");
  }
  return out;
}

}  // namespace peridotarch

#ifndef CORE_ERROR_H_
#define CORE_ERROR_H_

#include <stdexcept>

namespace peridotarch {

/// Base of all errors that the library throws.
class error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A setting is missing or malformed; the text names it, its value and what is
/// allowed.
class settings_error : public error {
 public:
  using error::error;
};

/// A message or record does not decode or its authentication fails.
class codec_error : public error {
 public:
  using error::error;
};

/// A call to the platform (log or host list) failed; its effect is unknown.
class platform_error : public error {
 public:
  using error::error;
};

/// An invariant does not hold, in a program where that is fatal.
class invariant_error : public error {
 public:
  using error::error;
};

}  // namespace peridotarch

#endif  // CORE_ERROR_H_

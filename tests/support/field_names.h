#ifndef TESTS_SUPPORT_FIELD_NAMES_H_
#define TESTS_SUPPORT_FIELD_NAMES_H_

#include <string>
#include <utility>
#include <vector>

namespace peridotarch {

/// Returns names of fields that are no token (RFC 9110, 5.6.2).
inline std::vector<std::string> InvalidFieldNames() {
  std::vector<std::string> names = {
      "",        " X-Odd",  "X-Odd ",           "X Odd",
      "X-Odd\t", "X\tOdd",  "Content-Length ",  "Transfer-Encoding\t",
      "\tX-Odd", "X-Odd\r", "Content-Length\v", std::string("X\0Odd", 5)};
  constexpr char kFirstVisible = '!';
  for (char control = 1; control < kFirstVisible; ++control) {
    names.push_back(std::string("X") + control + "Odd");
  }
  for (const char separator : std::string("\"(),/;<=>?@[\\]{}\x7f\x80\xff")) {
    names.push_back(std::string("X") + separator + "Odd");
  }
  return names;
}

/// Returns a name with each character that a token may have.
inline std::string LongestToken() {
  std::string name = "X!#$%&'*+-.^_`|~";
  for (const auto& [first, last] :
       {std::pair('0', '9'), std::pair('A', 'Z'), std::pair('a', 'z')}) {
    for (char c = first; c <= last; ++c) {
      name += c;
    }
  }
  return name;
}

}  // namespace peridotarch

#endif  // TESTS_SUPPORT_FIELD_NAMES_H_

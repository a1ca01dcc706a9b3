// Answers of instances with fields whose name is no token.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "front_world.h"
#include "tests/support/field_names.h"

namespace peridotarch {
namespace {

using boost::beast::http::verb;

const std::string kStart = "HTTP/1.1 200 OK\r\n";
const std::string kIdentity = "X-Request-Id: r1\r\nX-Response-Seal: 1.2.3\r\n";

/// An answer with a field of this name in one of its parts.
struct field_place {
  std::string name;
  std::string (*make)(const std::string& field_name);
};

const std::vector<field_place> kPlaces = {
    {"first line of the head",
     [](const std::string& name) {
       return kStart + name + ": 4\r\n" + kIdentity +
              "Content-Length: 4\r\n\r\nbody";
     }},
    {"an informational head",
     [](const std::string& name) {
       return "HTTP/1.1 103 Early Hints\r\n" + name + ": 4\r\n\r\n" + kStart +
              kIdentity + "Content-Length: 4\r\n\r\nbody";
     }},
    {"a trailer",
     [](const std::string& name) {
       return kStart + kIdentity +
              "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + name +
              ": 4\r\n\r\n";
     }},
};

http_response AnswerWith(const std::string& bytes) {
  front_world world;
  world.AddRoute("/pay/", false);
  world.AddInstance([&bytes](const http_request&) { return bytes; });
  return world.SendRequest(verb::put, "/pay/1");
}

// On other systems callers got such a line, or a body that was not the
// instance's.
TEST_CASE("field name: an answer with one that is no token is not delivered") {
  for (const field_place& place : kPlaces) {
    for (const std::string& name : InvalidFieldNames()) {
      INFO("name \"" << name << "\" in " << place.name);
      const http_response answer = AnswerWith(place.make(name));
      CHECK(answer.result_int() == 502);
      CHECK(answer.count("X-Response-Seal") == 0);
    }
  }
}

// The line continues the value before it (RFC 9112, 5.2), unless it is the
// first one.
TEST_CASE("field name: a blank before one that follows another is a fold") {
  for (const char* blank : {" ", "\t"}) {
    const http_response answer =
        AnswerWith(kStart + kIdentity + "X-Value: a\r\n" + blank +
                   "X-Odd: b\r\nContent-Length: 4\r\n\r\nbody");
    CHECK(answer.result_int() == 200);
    CHECK(answer["X-Value"] == "a X-Odd: b");
    CHECK(answer.count("X-Odd") == 0);
  }
}

TEST_CASE("field name: each token is delivered") {
  for (const field_place& place : kPlaces) {
    INFO(place.name);
    const http_response answer = AnswerWith(place.make(LongestToken()));
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "body");
  }
  CHECK(AnswerWith(kPlaces.front().make(LongestToken()))[LongestToken()] ==
        "4");
}

}  // namespace
}  // namespace peridotarch

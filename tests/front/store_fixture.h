#ifndef TESTS_FRONT_STORE_FIXTURE_H_
#define TESTS_FRONT_STORE_FIXTURE_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "front_world.h"
#include "platform/base64.h"

namespace peridotarch {

inline std::string OkAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline std::string NewestAnswer(const std::string& key,
                                const std::string& value) {
  nlohmann::json items = nlohmann::json::array();
  if (!key.empty()) {
    items.push_back({{"key", key}, {"value", ToBase64(value)}});
  }
  return OkAnswer(
      nlohmann::json{{"items", items}, {"has_more", false}, {"end_offset", 7}}
          .dump());
}

inline constexpr const char* kConfig =
    R"({"version":"r4","routes":[{"name":"n","host":"box.example",
     "path_prefix":"/","kind":"safe","service":"s","max_attempts":1}],
     "services":[{"name":"s","max_connections":3}]})";
// Returns the configuration above as another version.
inline std::string ConfigOf(uint64_t version) {
  std::string config = kConfig;
  return config.replace(config.find("r4"), 2, "r" + std::to_string(version));
}

inline constexpr const char* kEntry =
    R"({"service":"s","address":"127.0.0.1:9","zone":"a","slots":3,
     "state":"ready","warmup_left_s":0,"seq":1,"born":5})";

// Answers as a store with one record each in the config and instance topics. A
// read of changes gets an empty page at once.
inline std::string AnswerAsStore(const http_request& request) {
  const std::string target(request.target());
  if (target.find("log-newest") != std::string::npos) {
    if (target.find("keyed.op") != std::string::npos) {
      return NewestAnswer("config", kConfig);
    }
    if (target.find("keyed.servers") != std::string::npos) {
      return NewestAnswer("i-1", kEntry);
    }
    return NewestAnswer("", "");
  }
  return OkAnswer(std::string(16, '\0'));
}

inline std::shared_ptr<front_node> MakeNode(boost::asio::io_context& context,
                                            uint16_t store, uint16_t seed) {
  node_settings settings;
  settings.node = "edge-1";
  settings.zone = "a";
  settings.store = {"127.0.0.1", store};
  settings.control = {"127.0.0.2", seed};
  settings.seeds = {{"127.0.0.1", seed}};
  return std::make_shared<front_node>(context, settings, 1);
}

}  // namespace peridotarch

#endif  // TESTS_FRONT_STORE_FIXTURE_H_

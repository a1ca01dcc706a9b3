#include "standin/load_mix.h"

#include <fstream>
#include <nlohmann/json.hpp>

#include "core/error.h"

namespace peridotarch::standin {

using nlohmann::json;

load_mix::load_mix(const std::string& file) {
  std::ifstream stream(file);
  const json text = json::parse(stream, nullptr, false);
  if (text.is_discarded() || !text.contains("routes")) {
    throw settings_error("mix: " + file + " is no JSON with \"routes\"");
  }
  for (const json& entry : text["routes"]) {
    load_route route;
    route.method = entry.at("method");
    route.path = entry.at("path");
    route.weight = entry.value("weight", route.weight);
    route.keyed = entry.value("keyed", route.keyed);
    route.idempotent = entry.value("idempotent", route.idempotent);
    route.body_bytes = entry.value("body_bytes", route.body_bytes);
    route.answer_bytes = entry.value("answer_bytes", route.answer_bytes);
    route.team = entry.value("team", route.team);
    total_ += route.weight;
    routes_.push_back(std::move(route));
  }
  if (routes_.empty()) {
    throw settings_error("mix: " + file + " names no route");
  }
}

const load_route& load_mix::Choose(random_bits& random) const {
  double left = random.Unit() * total_;
  for (const load_route& route : routes_) {
    left -= route.weight;
    if (left < 0) {
      return route;
    }
  }
  return routes_.back();
}

}  // namespace peridotarch::standin

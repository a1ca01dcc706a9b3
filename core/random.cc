#include "core/random.h"

namespace peridotarch {

random_bits::result_type random_bits::operator()() {
  constexpr uint64_t kIncrement = 0x9e3779b97f4a7c15;
  constexpr uint64_t kFirstMultiplier = 0xbf58476d1ce4e5b9;
  constexpr uint64_t kSecondMultiplier = 0x94d049bb133111eb;
  state_ += kIncrement;
  uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * kFirstMultiplier;
  mixed = (mixed ^ (mixed >> 27)) * kSecondMultiplier;
  return mixed ^ (mixed >> 31);
}

uint64_t random_bits::Below(uint64_t bound) { return (*this)() % bound; }

double random_bits::Unit() {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>((*this)() >> 11) * kScale;
}

}  // namespace peridotarch

// Mutated variants of valid inputs, for parsers and decoders.
#ifndef TROUTLINK_TESTS_DAMAGE_H_
#define TROUTLINK_TESTS_DAMAGE_H_

#include <random>
#include <string>

namespace troutlink {

// Calls `decode` with thousands of variants of `good` in which up to four bytes are changed, erased
// or inserted, drawn with a fixed seed. Decoders may refuse them but must not crash.
template <typename Decode>
void Damage(const std::string& good, Decode decode) {
  std::mt19937 rng(7);
  for (int i = 0; i < 4000; ++i) {
    std::string s = good;
    int n = 1 + static_cast<int>(rng() % 4);
    for (int k = 0; k < n && !s.empty(); ++k) {
      switch (rng() % 3) {
        case 0: s[rng() % s.size()] = static_cast<char>(rng()); break;
        case 1: s.erase(rng() % s.size(), 1 + rng() % 3); break;
        default: s.insert(rng() % s.size(), 1, static_cast<char>(rng())); break;
      }
    }
    decode(s);
  }
}

}  // namespace troutlink

#endif  // TROUTLINK_TESTS_DAMAGE_H_

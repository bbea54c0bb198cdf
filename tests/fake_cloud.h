// In-memory fake of the cloud that machines are rented from.
#ifndef TROUTLINK_TESTS_FAKE_CLOUD_H_
#define TROUTLINK_TESTS_FAKE_CLOUD_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "fake_worker.h"

namespace troutlink::test {

// Rents machines of one type, takes them back and lists them, as the published protocol
// describes it.
class FakeCloud {
 public:
  // Makes a new machine of that type, on spot or not.
  using MakeWorker = std::function<FakeWorker&(const std::string& type, bool spot)>;

  // `workers`: all machines, those of the cloud among them. `report`: notes a broken rule.
  FakeCloud(Workers* workers, MakeWorker make_worker,
            std::function<void(const std::string&)> report);

  // Carries a request out; returns the status and body of the answer.
  std::pair<int, Json> Handle(Micros now, const std::string& method, const std::string& target,
                              const Json& body);

  bool down = false;                  // 503 to all
  int capacity = 100;                 // machines that can still be rented
  std::function<Micros()> boot_time;  // of the next machine that is rented; unset: 5 s
  std::set<std::string> dead_zones;   // machines that are rented there never come up
  int rentals = 0, returns = 0;       // machines, in all

 private:
  std::pair<int, Json> Rent(Micros now, const Json& body);
  std::pair<int, Json> Return(const Json& body);
  std::pair<int, Json> List(Micros now) const;

  Workers* workers_;
  MakeWorker make_worker_;
  std::function<void(const std::string&)> report_;
  std::map<std::string, std::pair<Json, Json>> rented_;  // request and answer, by name
  std::set<std::string> rented_names_;  // their room in the cloud is free again once returned
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_FAKE_CLOUD_H_

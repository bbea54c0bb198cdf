#ifndef REVIEW_STANDIN_CASES_H_
#define REVIEW_STANDIN_CASES_H_

#include <map>
#include <string>

#include "world.h"

namespace review {

// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
using Play = int (*)(WorldOptions options, bool trouble);
std::map<std::string, Play> Cases();

int PlayQuota(WorldOptions options, bool trouble);
int PlayStranded(WorldOptions options, bool trouble);
int PlayStuck(WorldOptions options, bool trouble);

}  // namespace review

#endif  // REVIEW_STANDIN_CASES_H_

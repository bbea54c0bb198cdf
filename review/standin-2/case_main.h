// Common parts of the cases: command line, verdict, and steps that several of them use.
#ifndef TROUTLINK_REVIEW_STANDIN_2_CASE_MAIN_H_
#define TROUTLINK_REVIEW_STANDIN_2_CASE_MAIN_H_

#include <string>

#include "world.h"

namespace review {

enum class Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

// Arguments: the folder of the case, a temporary folder, the run command of the deploy file as one
// word, and what the case itself takes. The environment variable TROUBLE=0 leaves the disruption
// out.
int CaseMain(int argc, char** argv, Options options,
             Verdict (*play)(World* world, int argc, char** argv));

bool WaitUntilUp(World* world, size_t node, double most_seconds);
// Users' retries: at the next node after a second.
bool SubmitUntilAccepted(World* world, const Json& body, double most_seconds);
// Asks all nodes in turn until the job has the status.
bool PollUntil(World* world, const std::string& id, const std::string& status,
               double most_seconds);

}  // namespace review

#endif  // TROUTLINK_REVIEW_STANDIN_2_CASE_MAIN_H_

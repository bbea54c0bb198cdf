#!/bin/bash
# Plays the case of claim.txt. Exit code 1: the rule was broken, 0: it held, 2: could not run.
# TROUBLE=0: the same without the disruption. Needs the build of the deploy file and review/build.sh.
case_name=stranded
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/review_case ] && [ -x target/troutlink ] || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
# The command of the deploy file; the settings' path follows as its last argument.
REVIEW_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
REVIEW_DIRECTORY=$directory
REVIEW_RECORD=$here/record.txt
LOG_LEVEL=error
export REVIEW_RUN REVIEW_DIRECTORY REVIEW_RECORD LOG_LEVEL
timeout -s KILL 119 target/review/review_case "$case_name"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"

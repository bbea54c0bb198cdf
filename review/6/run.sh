#!/bin/bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout 118 target/review-2/kept_room "$here" "$scratch" "$run"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"

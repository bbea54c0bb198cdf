#!/bin/bash
# Builds the stand-ins of cases 4 to 6, after the build of the deploy file. They use the project's
# own libraries for sockets and wire formats; everything goes to target/review-2.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O2 -Wall -Wextra -Isrc -Itarget/gen -Ireview/standin-2"
libraries="target/libtroutlink_runtime.a target/libtroutlink_lib.a -lev -lprotobuf -lpthread"
jobs=()
finish() {
  for job in "${jobs[@]}"; do wait "$job"; done  # fails if one of them did
  jobs=()
}
for part in world case_main; do
  g++ $flags -c "review/standin-2/$part.cc" -o "$out/$part.o" &
  jobs+=($!)
done
finish
for main in review/standin-2/*.cc; do
  name=$(basename "$main" .cc)
  case "$name" in world | case_main) continue ;; esac
  g++ $flags "$main" "$out/world.o" "$out/case_main.o" $libraries -o "$out/$name" &
  jobs+=($!)
done
finish

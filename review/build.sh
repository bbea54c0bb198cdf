#!/bin/bash
# Builds the stand-ins of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in main world state cases; do
  g++ -std=c++20 -O2 -Wall -Wextra -Wno-restrict -I src -I target/gen -I tests/soak \
    -c "review/standin/$source.cc" -o "target/review/$source.o" &
done
wait
g++ -o target/review/review_case.new target/review/{main,world,state,cases}.o \
  target/libtroutlink_runtime.a target/libtroutlink_lib.a -lprotobuf -lspdlog -lfmt -lev -lpthread
mv target/review/review_case.new target/review/review_case
echo "built target/review/review_case"

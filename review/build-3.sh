#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. The build of
# deploy/system.toml must have run before: its libraries in target/ are linked.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-3
mkdir -p "$out"
compile=(g++ -std=c++20 -O2 -Wall -Wextra
  -Iinclude -Isrc -I. -Ifakes -Ireview/stand_ins_3)
objects=()
builds=()
for source in review/stand_ins_3/*.cc fakes/site_store.cc; do
  object=$out/$(basename "$source" .cc).o
  "${compile[@]}" -c "$source" -o "$object" &
  builds+=($!)
  objects+=("$object")
done
for build in "${builds[@]}"; do
  wait "$build"
done
# shellcheck disable=SC2046
g++ "${objects[@]}" target/libplantainhead_jobs.a \
  target/libplantainhead_support.a target/libplantainhead_core.a \
  $(pkg-config --libs liblog4cxx yaml-cpp libxxhash) -lpthread \
  -o "$out/review-3-case"
echo "built $out/review-3-case"

#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, with the
# libraries that the build of deploy/system.toml has left in target/.
set -euo pipefail
cd "$(dirname "$0")/.."

out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Iinclude -Isrc -I.
  -Ireview/stand_ins_2)
libraries=(target/libplantainhead_jobs.a target/libplantainhead_support.a
  target/libplantainhead_core.a -llog4cxx -lyaml-cpp -lxxhash -lpthread)

compile() {
  g++ "${flags[@]}" -c "$1" -o "$out/$(basename "$1" .cc).o"
}

pids=()
for source in review/stand_ins_2/*.cc; do
  compile "$source" &
  pids+=("$!")
done
for pid in "${pids[@]}"; do
  wait "$pid"
done

shared=()
for source in review/stand_ins_2/*.cc; do
  case "$source" in
    *_case.cc) ;;
    *) shared+=("$out/$(basename "$source" .cc).o") ;;
  esac
done
for source in review/stand_ins_2/*_case.cc; do
  name=$(basename "$source" .cc)
  g++ -o "$out/$name" "$out/$name.o" "${shared[@]}" "${libraries[@]}"
done

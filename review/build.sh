#!/usr/bin/env bash
# Builds the scheduler as it is deployed, and the stand-ins that the scripts
# start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j8 --target plantain-scheduler | tail -1

objects=target/review-objects
mkdir -p "$objects"
for source in review/stand_ins/*.cc fakes/site_store.cc soak/fault_proxy.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -Iinclude -Isrc -Ifakes -I. \
    -Ireview/stand_ins -c "$source" -o "$objects/$(basename "$source" .cc).o" &
done
wait
g++ "$objects"/*.o -o target/review-cases target/libplantainhead_jobs.a \
  target/libplantainhead_support.a target/libplantainhead_core.a \
  -llog4cxx -lyaml-cpp -lxxhash -lpthread

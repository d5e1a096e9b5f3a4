# Starts and stops a whole fleet of processes on free loopback ports. Sourced by
# scripts/demo and scripts/experiment; the caller has set -euo pipefail.

bin=$PWD/build
run=$(mktemp -d "${TMPDIR:-/tmp}/plantainhead.XXXXXX")
declare -A pid_of=()
entries=()
zones=(suwon seongnam goyang)

stop_all() {
  local name
  for name in "${!pid_of[@]}"; do
    case $name in entry-*) kill -TERM "${pid_of[$name]}" 2>/dev/null || true ;; esac
  done
  for name in "${!pid_of[@]}"; do
    case $name in entry-*) wait "${pid_of[$name]}" 2>/dev/null || true ;; esac
  done
  for name in "${!pid_of[@]}"; do
    kill -TERM "${pid_of[$name]}" 2>/dev/null || true
  done
  for name in "${!pid_of[@]}"; do
    wait "${pid_of[$name]}" 2>/dev/null || true
  done
}

start() { # name, program, arguments
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pid_of[$name]=$!
}

port_of() { # name: waits for the port file; its first line is the HTTP port
  local file=$run/$1.port
  for _ in $(seq 400); do
    if [ -s "$file" ]; then
      head -n 1 "$file"
      return
    fi
    sleep 0.05
  done
  echo "$1 did not start; see $run/$1.log" >&2
  exit 1
}

start_platform() {
  start platform "$bin/fake-platform" --port 0 --port-file "$run/platform.port"
  platform_port=$(port_of platform)
}

start_runner() { # number, service, zone
  start "runner-$1" "$bin/fake-runner" --port 0 --port-file "$run/runner-$1.port" \
    --vm "vm-$1" --service "$2" --pool "$2-pool" --zone "$3" --rack "rack-$1" \
    --slots 8 --service-time-ms 20 --platform "127.0.0.1:$platform_port"
}

start_runners() { # two services, alternating, over the zones
  local i
  for i in 0 1 2 3 4 5; do
    start_runner "$i" "$([ $((i % 2)) -eq 0 ] && echo intake || echo routing)" \
      "${zones[$((i / 2))]}"
  done
}

start_entry() { # number, HTTP port (0 for a free one)
  rm -f "$run/entry-$1.port"
  cat >"$run/entry-$1.yaml" <<YAML
name: entry-$1
region: gyeonggi
zone: ${zones[$((($1 - 1) / 3))]}
host: 127.0.0.1
http-port: $2
peer-port: 0
port-file: $run/entry-$1.port
limits:
  patience: 10s
counts:
  interval: 2s
platform:
  host: 127.0.0.1
  port: $platform_port
YAML
  start "entry-$1" "$bin/plantain-entry" "$run/entry-$1.yaml"
}

start_entries() {
  local i
  for i in 1 2 3 4 5 6 7 8 9; do
    start_entry "$i" 0
  done
  for i in 1 2 3 4 5 6 7 8 9; do
    entries+=(--entry "127.0.0.1:$(port_of "entry-$i")")
  done
}

control() {
  "$bin/plantainctl" "${entries[@]}" "$@"
}

load() { # seconds, further options
  local seconds=$1
  shift
  "$bin/plantain-load" "${entries[@]}" --duration "$seconds" --seed 1 \
    --class "service=intake,class=urgent,rate=100,deadline=2s" \
    --class "service=intake,class=appeals,rate=20,deadline=4s,idempotent=false,keys=true" \
    --class "service=routing,class=routing,rate=100,deadline=2s" \
    --runners-from-platform "127.0.0.1:$platform_port" "$@"
}

start_fleet() {
  start_platform
  start_runners
  start_entries
  control publish --wait examples/demo.yaml
}

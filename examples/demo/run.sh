#!/usr/bin/env bash
# Runs entry VMs on a stand-in of the users' platform in memory, then a deployment on loopback as
# plain processes: stand-ins for platform and targets, one process a VM, callers. Exits with 0 if
# every checked promise was kept.
# Usage: run.sh SISKINWARD [CONFIGURATION]
set -euo pipefail
siskinward=$1
configuration=${2:-$(dirname "$0")/../orgonahaz.ini}
run_folder=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$run_folder"
}
trap stop_all EXIT

start() {
  "$@" >"$run_folder/${#pids[@]}.log" 2>&1 &
  pids+=($!)
}

write_settings() {
  printf '[node]\nvm = %s\nfailure_domain = %s\nhost = %s\nfront_port = %s\npeer_port = %s\n' "${@:2}"
  printf '[platform]\nhost = 127.0.0.1\nport = 17000\n[peers]\nshared_secret = demo\n'
  printf '[limits]\nlook_up_ttl_s = 2\n[log]\npath = %s\n' "$run_folder/$2.log"
} >"$1"

echo "entry VMs on a platform that names their targets, in memory"
"$(dirname "$siskinward")/python" -m siskinward.platform.standins.demo

echo "a deployment that publishes its own configuration, as processes on loopback"
echo "starting the stand-ins for platform and targets"
start "$siskinward" standin platform
start "$siskinward" standin target "$configuration"
for _ in $(seq 100); do
  "$siskinward" publish "$configuration" >/dev/null 2>&1 && break
  sleep 0.1
done
echo "published $configuration"

vms=$("$siskinward" vms "$configuration")
last_pid=
while read -r vm domain host front peer; do
  write_settings "$run_folder/$vm.ini" "$vm" "$domain" "$host" "$front" "$peer"
  start "$siskinward" node --settings "$run_folder/$vm.ini"
  last_pid=$!
done <<<"$vms"
echo "started $(wc -l <<<"$vms") VMs"
"$siskinward" standin caller "$configuration" --stop-vm-pid "$last_pid"

#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -u
case_folder="$(cd "$1" && pwd)"
root="$(cd "$(dirname "$0")/.." && pwd)"
program="$root/review/standin/target/release/$2"
for needed in "$program" "$root/target/release/oleanderstage-node"; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: run the build of deploy/system.toml and review/build.sh" >&2
    exit 2
  fi
done
folder="$(mktemp -d)"
finish() {
  # Ends the VMs' processes that the case has started, if it could not.
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$root/target/release/oleanderstage-node" ]; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done <"$folder/pids"
  fi
  rm -rf "$folder"
}
trap finish EXIT
cd "$root" || exit 2
timeout 118 "$program" "$case_folder/record.txt" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"

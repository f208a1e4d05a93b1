#!/usr/bin/env bash
# Prints what was seen; record.txt holds what was sent, answered and run.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" hopeless_jobs

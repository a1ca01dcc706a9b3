#!/usr/bin/env bash
# Runs the case in a folder of this review: run_case.sh FOLDER. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
folder="$(cd "$1" && pwd)"
export PYTHONDONTWRITEBYTECODE=1
LOGS="$(mktemp -d)"
export LOGS
trap 'rm -rf "$LOGS"' EXIT
timeout -k 3 115 python3 "$folder/case.py"
code=$?
[ ! -f "$LOGS/record.txt" ] || cp "$LOGS/record.txt" "$folder/record.txt"
[ -z "${KEEP_LOGS:-}" ] || cp -r "$LOGS/." "$KEEP_LOGS"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac

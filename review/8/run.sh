#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case did not run.
here="$(cd "$(dirname "$0")" && pwd)"
folder="$(mktemp -d)" || exit 2
root="$here/../.."
program="$root/target/review-2/review-stale_role"
[ -x "$program" ] && [ -x "$root/target/snipewalk-sessions" ] || exit 2
timeout -k 5 115 "$program" "$root/target" "$folder" "$here/record.txt"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] && exit "$status"
exit 2

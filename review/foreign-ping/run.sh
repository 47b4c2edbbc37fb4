#!/bin/bash
# Runs the case once, see claim.txt. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
classes=$root/target/review-standin-3
[ -d "$classes" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout 110 java -Xmx1g -cp "$classes:$root/target/lib/*" ForeignPing "$root" "$work" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"

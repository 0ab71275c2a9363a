#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
root="$(cd "$here/../.." && pwd)" || exit 2
[ -x "$root/target/bin/gateway" ] && [ -x "$root/review/bin/harness" ] || { echo "build first"; exit 2; }
exec "$root/review/bin/harness" crowd "$root" "$here/record.txt"

#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it could not be played.
# TROUBLE=0 plays it without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/gateway ] && [ -x target/bin/rig-2 ] || exit 2
exec target/bin/rig-2 attempts review/8

#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/saltbendd ] && [ -x target/standin2 ] || exit 2
exec target/standin2 reuse-slow-store review/8/record.txt

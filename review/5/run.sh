#!/bin/sh
# Case 5: the primary of a service crashes and is back at once. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without the disruption. Needs the build of deploy/system.toml and review/build-2.sh. Takes 36 s.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/eidersystem ] && [ -x target/review-standin2 ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-standin2 quick-restart "$here/record.txt"

#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/bamboo ] && [ -x target/review/rig ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review/rig case resume-elsewhere -program target/bamboo -record "$here/record.txt"

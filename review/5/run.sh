#!/usr/bin/env bash
# Plays the case "fraction". Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
if ! [ -x ../bin/standin ] || ! [ -x ../../target/carawaycart ]; then
  echo "build the system with the command of the deploy file, and then run review/build.sh" >&2
  exit 2
fi
exec ../bin/standin -case fraction -root ../.. -record record.txt

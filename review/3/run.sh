#!/usr/bin/env bash
# Plays the case with the programs of a fresh build; TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
if [ ! -x target/release/headlatchd ]; then
  echo "target/release/headlatchd is missing: build the workspace first"
  exit 2
fi
if [ ! -x review/standins/target/release/review-standins ]; then
  bash review/build.sh || exit 2
fi
exec timeout --kill-after=2 115 review/standins/target/release/review-standins spoilt-manifest "$case"

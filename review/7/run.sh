#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
program=second_answer
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x "build/review-2/$program" ] && [ -x build/hareramp ] || { echo "build first: deploy/balancer.toml, review/build-2.sh" >&2; exit 2; }
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
scratch=$(mktemp -d) || exit 2
timeout --kill-after=2 115 "build/review-2/$program" "$run" "$folder" "$scratch"
status=$?
rm -rf "$scratch"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac

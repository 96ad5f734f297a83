#!/usr/bin/env bash
# Runs the main use case end to end: the toy servers, a director, some requests, its counters and a clean shutdown.
# With --flows the director also sends flow records to a collector at 127.0.0.1:4739. BUILD names the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
operator=()
[ "${1:-}" = --flows ] && operator=(--operator examples/operator.json)
log=$(mktemp)
trap 'kill "${director:-}" "${toy:-}" 2>/dev/null || true; rm -f "$log"' EXIT
"$build/toy_server" >/dev/null & toy=$!
"$build/hareramp" check --config examples/config.json "${operator[@]}"
"$build/hareramp" serve --config examples/config.json "${operator[@]}" 2>"$log" & director=$!
for _ in $(seq 100); do curl -sf -o /dev/null http://127.0.0.1:7000/_health && break; sleep 0.05; done
request() { curl -s -o /dev/null -w "$2 $3: %{http_code}, %{size_download} bytes\n" -H "X-Correlation-Id: 00000000000000$1" \
  -H 'X-Deadline-Ms: 3000' "${@:4}" "http://127.0.0.1:7000/invoke/$2/$3/block-0"; }
for i in a1 a2 a3; do request $i segment 7f3a; done
request b1 segment 7f3b
request c1 note 1 -X PUT --data-binary hello
curl -s http://127.0.0.1:7100/purge/7f3a
sleep 1.2
request a4 segment 7f3a
kill -USR1 "$director"; sleep 0.2
kill "$director"; wait "$director" && echo "the director exited with status 0"
cat "$log"

#!/usr/bin/env bash
# Starts stand-ins and entry processes for two availability zones on loopback, and stops them all
# on SIGINT or SIGTERM. FLAMINGOFRONT_DEMO_PORT moves the block of 20 ports.
set -u
cd "$(dirname "$0")/.."
. scripts/demo-common.sh
base=${FLAMINGOFRONT_DEMO_PORT:-18080}
platform=127.0.0.1:$((base + 10))

add_vm() {
    curl -fs -X POST "http://$platform/control/add" -d "$1" >/dev/null
}

endpoint() { # name port zone side service
    add_vm "{\"vm_id\":\"$1\",\"zone\":\"$3\",\"role\":\"endpoint\",\"address\":\"127.0.0.1:$2\",\"service\":\"$5\",\"side\":\"$4\"}"
}

start platform $bin/flamingofront-standin-platform --bind $platform
wait_for "http://$platform/vms"

n=0
for spec in "engine-a1 zone-a south" "engine-a2 zone-a north" "engine-b1 zone-b south" "engine-b2 zone-b north"; do
    set -- $spec
    port=$((base + 11 + n))
    start "$1" $bin/flamingofront-standin-engine --bind 127.0.0.1:$port --engine-id "$1"
    endpoint "$1" $port "$2" "$3" demo
    n=$((n + 1))
done
for spec in "records-a zone-a south" "records-b zone-b south"; do
    set -- $spec
    port=$((base + 11 + n))
    start "$1" $bin/flamingofront-standin-plain --bind 127.0.0.1:$port --endpoint-id "$1"
    endpoint "$1" $port "$2" "$3" records
    n=$((n + 1))
done

n=0
for spec in "entry-a zone-a" "entry-b zone-b"; do
    set -- $spec
    control=127.0.0.1:$((base + 4 + n))
    start "$1" $bin/flamingofront-entry --vm-id "$1" --zone "$2" --platform $platform \
        --caller-bind 127.0.0.1:$((base + n)) --control-bind $control \
        --peers 127.0.0.1:$((base + 4)),127.0.0.1:$((base + 5))
    add_vm "{\"vm_id\":\"$1\",\"zone\":\"$2\",\"role\":\"entry\",\"address\":\"$control\"}"
    n=$((n + 1))
done
wait_for "http://127.0.0.1:$base/readyz"
wait_for "http://127.0.0.1:$((base + 1))/readyz"
export FLAMINGOFRONT_ENTRY=127.0.0.1:$((base + 4)),127.0.0.1:$((base + 5))
$bin/flamingofront apply examples/demo.toml --operator demo >"$logs/apply.log" 2>&1 ||
    { cat "$logs/apply.log" >&2; exit 1; }

for _ in $(seq 100); do
    code=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$base/v1/completions" \
        -H 'X-Workspace: demo' -d '{"model": "demo", "prompt": "hello", "max_tokens": 1}')
    [ "$code" = 200 ] && break
    sleep 0.1
done
[ "$code" = 200 ] || { echo "no request could be served; logs are in $logs" >&2; exit 1; }
echo "ready http://127.0.0.1:$base"
wait

# Functions of the demonstrations; to be sourced. Children end with the script.
bin=.venv/bin
logs=${FLAMINGOFRONT_DEMO_LOGS:-$(mktemp -d)}
pids=()

stop() {
    trap - INT TERM EXIT
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    wait
    exit "${1:-0}"
}
trap 'stop 0' INT TERM
trap 'stop 1' EXIT

start() { # name command...
    local name=$1
    shift
    "$@" >"$logs/$name.log" 2>&1 &
    pids+=($!)
    printf -v "pid_${name//-/_}" '%s' "$!"
}

wait_for() { # url
    for _ in $(seq 150); do
        curl -fs -o /dev/null "$1" && return 0
        sleep 0.1
    done
    echo "no answer from $1; logs are in $logs" >&2
    exit 1
}

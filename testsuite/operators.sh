# Functions of the operators' tests. A test sources this file with the binary folder and a scratch folder as arguments.
set -euo pipefail
bin=$1
scratch=$2
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$scratch"
mkdir -p "$scratch"
started=()
stop_started() { for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done; }
trap stop_started EXIT

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# Waits until a file exists: await_file FILE
await_file() {
    for _ in $(seq 100); do
        [ -e "$1" ] && return
        sleep 0.05
    done
    fail "$1 did not appear"
}

# Starts a fake control host with an entry host and sets control_port and entry_port.
start_fake() {
    rm -f "$scratch/ports"
    "$bin/bergamot-fakecontrol" --ready_file "$scratch/ports" "$@" 2>>"$scratch/fake.log" &
    started+=($!)
    await_file "$scratch/ports"
    read -r control_port entry_port <"$scratch/ports"
    echo secret >"$scratch/token"
}

# Sets a fault of the fake control host: fake faults?lose-answers=1 [BODY]
fake() { curl -sS -X POST -d "${2:-}" "http://127.0.0.1:$control_port/fake/$1" >/dev/null; }

# Runs the tool against the fake host; output goes to $scratch/out and $scratch/err, the status to $status.
ctl() {
    status=0
    "$bin/bergamotctl" --control "c1=127.0.0.1:$control_port" --entry "e1=127.0.0.1:$entry_port" \
        --token-file "$scratch/token" "$@" >"$scratch/out" 2>"$scratch/err" || status=$?
}

# Checks the exit status of the last run of the tool.
expect_status() { [ "$status" = "$1" ] || fail "exit status $status instead of $1: $(cat "$scratch/out" "$scratch/err")"; }

# Compares the output of the last run with a file beside the test.
expect_output() { diff -u "$here/$1" "$scratch/out" || fail "output differs from $1"; }

# Checks that a line of the output or of the errors matches.
expect_line() { grep -q -- "$2" "$scratch/$1" || fail "no '$2' in: $(cat "$scratch/$1")"; }

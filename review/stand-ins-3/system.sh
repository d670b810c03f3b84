# Functions for run.sh of a case: they start the programs of the deploy file as separate processes on loopback addresses,
# with settings rendered from the deploy file's templates, and end them. To be sourced.

set -u
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
top=$(cd "$here/../.." && pwd)
daemon=$top/target/packages/plumfoldd/plumfoldd
folder=$(mktemp -d)
net=127.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1))
zones=(reykjavik-a hafnarfjordur-b kopavogur-c akranes-d)
rpc_port=7260
control_port=8582
caller_port=8580
readiness_port=8586
pids=()
front_pids=()

finish() {
    local pid
    touch "$folder/stopping"
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    for pid in "$folder"/core-*.pid; do [ ! -e "$pid" ] || kill -KILL "$(cat "$pid")" 2>/dev/null; done
    sleep 0.2
    rm -rf "$folder"
}
trap finish EXIT

# The case could not run: unrunnable REASON
unrunnable() {
    echo "could not run: $*" | tee -a "$here/record.txt"
    exit 2
}

zone_of() { echo "${zones[$((($1 - 1) % ${#zones[@]}))]}"; }
core_host() { echo "$net.$((10 + $1))"; }
front_host() { echo "$net.$((30 + $1))"; }

list() { # PREFIX SUFFIX VALUE...: quoted values, joined by commas
    local prefix=$1 suffix=$2 out="" value
    shift 2
    for value in "$@"; do out+="${out:+,}\"$prefix$value$suffix\""; done
    echo "$out"
}

render() { # TEMPLATE NAME ZONE HOST FIRST_START DATA_FOLDER
    local seeds
    seeds=$(list "" ":$control_port" "$(core_host 1)" "$(core_host 2)" "$(core_host 3)")
    sed -e "s|{{node-name}}|$2|" -e "s|{{zone}}|$3|" \
        -e "s|{{#zones}}.*{{/zones}}|$(list "" "" "${zones[@]}")|" \
        -e "s|{{#seed-nodes}}.*{{/seed-nodes}}|$seeds|" \
        -e "s|{{ip-address}}|$4|" -e "s|{{first-start}}|$5|" -e "s|{{data-directory}}|$6|" \
        -e "s|{{internal-port-range.0}}|$rpc_port|" \
        -e "s|{{listen-addresses.frontend}}|$4:$caller_port|" \
        -e "s|{{listen-addresses.readiness}}|$4:$readiness_port|" \
        -e "s|{{listen-addresses.control-plane}}|$4:$control_port|" \
        -e "s|{{bounds.grace-period-s}}|8|" -e "s|{{bounds.retry-budget-ratio}}|0.2|" \
        -e "s|{{bounds.budget-window-s}}|10|" -e "s|{{bounds.version-ms}}|10000|" \
        -e "s|{{bounds.retry-budget-extra}}|52|" -e "s|{{bounds.cold-overshoot}}|1.5|" \
        -e "s|{{bounds.cold-slack}}|5|" -e "s|{{bounds.lease-ms}}|3000|" "$1"
}

start_core() { # NUMBER
    local name=core-$1 settings=$folder/core-$1.settings
    mkdir -p "$folder/data-$1"
    render "$top/deploy/control.settings" "$name" "$(zone_of "$1")" "$(core_host "$1")" true "$folder/data-$1" >"$settings"
    PLUMFOLD_CONFIG=$settings "$daemon" --set /control/rolloutExposureShare= --set /control/rolloutExposureSlack= \
        >"$folder/$name.log" 2>&1 &
    pids+=($!)
}

# Starts a core machine again 0.5 s after its process has ended, with its disk, as the platform does. Its process is in
# core-NUMBER.pid of the folder.
supervise_core() { # NUMBER
    local first=true settings=$folder/core-$1.settings
    mkdir -p "$folder/data-$1"
    while [ ! -e "$folder/stopping" ]; do
        render "$top/deploy/control.settings" "core-$1" "$(zone_of "$1")" "$(core_host "$1")" $first "$folder/data-$1" \
            >"$settings"
        PLUMFOLD_CONFIG=$settings "$daemon" --set /control/rolloutExposureShare= --set /control/rolloutExposureSlack= \
            >>"$folder/core-$1.log" 2>&1 &
        echo $! >"$folder/core-$1.pid"
        wait $!
        first=false
        sleep 0.5
    done
}

start_front() { # NUMBER
    local name=frontend-$1 settings=$folder/frontend-$1.settings
    render "$top/deploy/entry.settings" "$name" "$(zone_of "$1")" "$(front_host "$1")" false "" >"$settings"
    PLUMFOLD_CONFIG=$settings "$daemon" --set /forwarding/rollouts= >"$folder/$name.log" 2>&1 &
    pids+=($!)
    front_pids+=($!)
}

# Starts four core and four frontend machines, as many as the site has zones: start_system [supervised]
start_system() {
    [ -x "$daemon" ] || unrunnable "the build of the deploy file has not run"
    local number
    : >"$here/record.txt"
    for number in 1 2 3 4; do
        if [ "${1:-}" = supervised ]; then
            supervise_core "$number" 2>/dev/null &
            pids+=($!)
        else
            start_core "$number"
        fi
    done
    for number in 1 2 3 4; do start_front "$number"; done
}

# Runs the stand-ins of a case and exits with what they found: run_case NAME
run_case() {
    local program=$top/build/review-3/$1 result pid
    [ -x "$program" ] || unrunnable "review/build-3.sh has not run"
    FRONT_PIDS="${front_pids[*]}" PROCESS_FOLDER=$folder timeout 100 "$program" "$net" "${TROUBLE:-1}" "$here/record.txt"
    result=$?
    [ "$result" -le 1 ] || unrunnable "the stand-ins ended with $result"
    for pid in "${pids[@]}"; do
        kill -0 "$pid" 2>/dev/null || unrunnable "a process of the system ended by itself"
    done
    exit "$result"
}

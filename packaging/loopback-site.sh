# Functions that start one data centre on loopback; sourced by packaging/quickstart and by tests.
# Each run has its own part of 127.0.0.0/8, so runs at the same time do not meet.

site_bin=$1
site_folder=$2
site_net="127.$((64 + ($$ / 250) % 128)).$((1 + $$ % 250))"
site_pids=()
declare -A site_pid
ordering_address=$site_net.1
manifests_address=$site_net.2
service_port=8080
fabric_return=$site_net.3:7000
fabric_control=$site_net.3:7003
site_token=quickstart-token

site_start() { # name command...
    local name=$1
    shift
    "$@" >"$site_folder/$name.log" 2>&1 &
    site_pid[$name]=$!
    site_pids+=("$!")
}

site_stop() {
    local pid
    for pid in "${site_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for _ in $(seq 50); do
        local alive=0
        for pid in "${site_pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
        [ "$alive" = 0 ] && return 0
        sleep 0.1
    done
    for pid in "${site_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}

entry_address() { echo "$site_net.$((10 + $1))"; }

entry_fabrics() { # numbers of entry hosts
    local list=() number
    for number in "$@"; do list+=("$(entry_address "$number"):7000"); done
    (IFS=,; echo "${list[*]}")
}

write_configuration() {
    cat >"$site_folder/configuration.json" <<JSON
{
  "revision": 1, "term": 1, "flow_hash_key": 20261204,
  "services": [
    { "name": "ordering", "address": "$ordering_address", "ports": [$service_port], "protocol": "TCP",
      "allowed_networks": ["127.0.0.0/8"] },
    { "name": "manifests", "address": "$manifests_address", "ports": [$service_port], "protocol": "TCP",
      "allowed_networks": ["127.0.0.0/8"] }
  ],
  "data_centres": [ { "name": "dc1" } ]
}
JSON
}

write_entry_settings() { # number total
    local peers="" other address
    for other in $(seq "$2"); do
        peers="$peers${peers:+, }{ \"host\": \"entry-$other\", \"data_centre\": \"dc1\", \"endpoint\": \"$(entry_address "$other"):7001\" }"
    done
    address=$(entry_address "$1")
    cat >"$site_folder/entry-$1.json" <<JSON
{
  "host": "entry-$1", "data_centre": "dc1",
  "fabric_listen": "$address:7000", "peer_listen": "$address:7001", "announce_listen": "$address:7002",
  "operators": { "listen": "$address:7003", "token_file": "$site_folder/token" },
  "peers": [ $peers ],
  "data_folder": "$site_folder/entry-$1",
  "control_endpoints": [ ${control_list:-} ],
  "fabric_send": "$fabric_return"
}
JSON
}

start_entry_host() { # number, further flags
    local number=$1
    shift
    site_start "entry-$number" "$site_bin/bergamotd" --settings "$site_folder/entry-$number.json" "$@"
}

# Entry hosts with the configuration from a file, without control hosts.
start_entry_hosts() { # total
    local number
    echo "$site_token" >"$site_folder/token"
    write_configuration
    for number in $(seq "$1"); do
        write_entry_settings "$number" "$1"
        start_entry_host "$number" --configuration "$site_folder/configuration.json"
    done
}

# Entry hosts that get their configuration from three control hosts.
start_controlled_entry_hosts() { # total
    local number control_list
    control_list=$(control_endpoints 3 7100 | sed 's/[^,]*/"&"/g')
    for number in $(seq "$1"); do
        write_entry_settings "$number" "$1"
        start_entry_host "$number"
    done
}

control_endpoints() { # total port
    local list=() number
    for number in $(seq "$1"); do list+=("$site_net.$((20 + number)):$2"); done
    (IFS=,; echo "${list[*]}")
}

write_control_settings() { # number total
    local members="" other address=$site_net.$((20 + $1))
    for other in $(seq "$2"); do
        members="$members${members:+, }{ \"host\": \"control-$other\", \"rpc_endpoint\": \"$site_net.$((20 + other)):7100\" }"
    done
    cat >"$site_folder/control-$1.json" <<JSON
{
  "host": "control-$1", "data_centre": "dc1", "rpc_listen": "$address:7100",
  "operators": { "listen": "$address:7003", "token_file": "$site_folder/token" },
  "data_folder": "$site_folder/control-$1", "initial_members": [ $members ]
}
JSON
}

start_control_hosts() { # total
    local number
    echo "$site_token" >"$site_folder/token"
    for number in $(seq "$1"); do
        write_control_settings "$number" "$1"
        site_start "control-$number" "$site_bin/bergamot-control" --settings "$site_folder/control-$number.json"
    done
}

control() { # bergamotctl arguments
    "$site_bin/bergamotctl" "$@" --control "$(control_endpoints 3 7003)" --token-file "$site_folder/token"
}

start_fabric() { # total, further flags
    local total=$1
    shift
    site_start fabric "$site_bin/bergamot-fabric" --configuration "$site_folder/configuration.json" \
        --local "$fabric_return" --control "$fabric_control" --entry_hosts "$(entry_fabrics $(seq "$total"))" "$@"
}

start_backend() { # service service-address number entry-hosts, further flags
    local name=$1-$3 address announce="" number
    address=$site_net.$([ "$1" = ordering ] && echo $((100 + $3)) || echo $((150 + $3)))
    for number in $(seq "$4"); do announce="$announce${announce:+,}$(entry_address "$number"):7002"; done
    local service=$1 service_address=$2
    shift 4
    site_start "$name" "$site_bin/bergamot-backend" --name "$name" --service "$service" \
        --service_address "$service_address" --local "$address:6080" --platform "$address:7004" \
        --fabric "$fabric_return" --announce "$announce" --journal "$site_folder/$name.journal" "$@"
}

backend_platform() { # service number
    echo "$site_net.$([ "$1" = ordering ] && echo $((100 + $2)) || echo $((150 + $2))):7004"
}

wait_for() { # seconds command...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

answers_whole() { # url-prefix
    curl -s -m 2 -o /dev/null -f "$1/document?id=probe&bytes=10"
}

entry_state() { # number
    curl -s -m 2 -H "Authorization: Bearer $site_token" "http://$(entry_address "$1"):7003/v1/state"
}

# Functions that configure and run a site on loopback: 7 VMs in 4 failure
# domains, settings for an eighth VM that joins later, the services yardbook (14
# targets) and sitepics (4 targets), and a stand-in for the platform's store.
# Sourced by tools/demo.sh. Expects $bin (marjoramhall), $lab (marjoramhall-lab)
# and $dir (an empty folder for settings, logs and results).

readonly vm_count=7
readonly vm_slots=8
readonly domains=(hillside creek orchard ridge)
declare -A pids=()
declare -a flow_ports hop_ports request_ports control_ports operator_ports
declare -a yardbook_ports sitepics_ports yardbook_flow_ports sitepics_flow_ports
store_port=

# Chooses free ports for all VMs, the targets and the store.
take_ports() {
  local ports
  mapfile -t ports < <("$lab" ports $((5 * vm_slots + 37)))
  flow_ports=("${ports[@]:0:8}")
  hop_ports=("${ports[@]:8:8}")
  request_ports=("${ports[@]:16:8}")
  control_ports=("${ports[@]:24:8}")
  operator_ports=("${ports[@]:32:8}")
  yardbook_ports=("${ports[@]:40:14}")
  sitepics_ports=("${ports[@]:54:4}")
  yardbook_flow_ports=("${ports[@]:58:14}")
  sitepics_flow_ports=("${ports[@]:72:4}")
  store_port=${ports[76]}
}

# target_json SERVICE INDEX REQUEST_PORT FLOW_PORT
target_json() {
  printf '{"name":"%s-%d","domain":"%s","flow_endpoint":"127.0.0.1:%d",' \
    "$1" $(($2 + 1)) "${domains[$(($2 % 4))]}" "$4"
  printf '"request_endpoint":"127.0.0.1:%d","slots":3}' "$3"
}

# targets_json SERVICE
targets_json() {
  local -n request_of="$1_ports" flow_of="$1_flow_ports"
  local i separator=
  for i in "${!request_of[@]}"; do
    printf '%s' "$separator"
    target_json "$1" "$i" "${request_of[$i]}" "${flow_of[$i]}"
    separator=,
  done
}

write_deployment() {
  local it separator=
  {
    printf '{"domains":['
    for it in "${domains[@]}"; do
      printf '%s{"name":"%s","region":"valley"}' "$separator" "$it"
      separator=,
    done
    printf '],"services":[{"name":"yardbook","flow_address":"203.0.113.10:443",'
    printf '"flow_protocol":"tcp","host":"yardbook.example","kinds":['
    printf '{"name":"board","method":"GET","path_prefix":"/board",'
    printf '"idempotent":true,"deadline":"2s","priority":"short"},'
    printf '{"name":"quote","method":"POST","path_prefix":"/quotes",'
    printf '"idempotent":false,"deadline":"5s","priority":"short"}],'
    printf '"targets":[%s]},' "$(targets_json yardbook)"
    printf '{"name":"sitepics","flow_address":"203.0.113.11:443",'
    printf '"flow_protocol":"tcp","host":"sitepics.example","kinds":['
    printf '{"name":"bundle","method":"GET","path_prefix":"/bundles",'
    printf '"idempotent":true,"deadline":"10s","priority":"long"}],'
    printf '"targets":[%s]}]}\n' "$(targets_json sitepics)"
  } >"$dir/deployment.json"
}

# write_settings INDEX: writes the settings of VM INDEX + 1.
write_settings() {
  local i=$1
  local seeds="127.0.0.1:${control_ports[0]}, 127.0.0.1:${control_ports[3]}"
  seeds+=", 127.0.0.1:${control_ports[6]}"
  cat >"$dir/vm-$((i + 1)).ini" <<INI
[vm]
name = vm-$((i + 1))
failure_domain = ${domains[$((i % 4))]}
[flow]
listen = 127.0.0.1:${flow_ports[$i]}
hop_listen = 127.0.0.1:${hop_ports[$i]}
max_flows = 200000
idle_timeout = 300s
[request]
listen = 127.0.0.1:${request_ports[$i]}
[control]
listen = 127.0.0.1:${control_ports[$i]}
seeds = $seeds
key_file = control.key
deployment = deployment.json
[operators]
listen = 127.0.0.1:${operator_ports[$i]}
token_file = operators.token
[store]
url = http://127.0.0.1:$store_port
[log]
path = vm-$((i + 1)).log
decisions = all
INI
}

# Writes the keys, the first configuration and the settings of all VMs.
write_site() {
  local i
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/control.key"
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/operators.token"
  chmod 600 "$dir/control.key" "$dir/operators.token"
  write_deployment
  for ((i = 0; i < vm_slots; i++)); do
    write_settings "$i"
  done
}

# start NAME COMMAND...: runs a process in the background, with output in $dir.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pids[$name]=$!
}

# start_vm VM_NUMBER
start_vm() {
  start "vm-$1" "$bin" run --settings "$dir/vm-$1.ini"
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
  local tries=$(($1 * 10))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# is_ready NAME: succeeds once the process has printed "ready".
is_ready() {
  grep -q '^ready' "$dir/$1.out"
}

# listen_args ARRAY: prints --listen arguments for an array of ports.
listen_args() {
  local -n ports_of="$1"
  printf -- '--listen 127.0.0.1:%d ' "${ports_of[@]}"
}

# api VM_NUMBER METHOD PATH [CURL ARGUMENTS]: calls a VM's operator API.
api() {
  local port=${operator_ports[$(($1 - 1))]} method=$2 path=$3
  shift 3
  curl -sS --max-time 15 -X "$method" "http://127.0.0.1:$port$path" \
    -H "authorization: Bearer $(cat "$dir/operators.token")" "$@"
}

# revision_of VM_NUMBER: prints the revision in force on a VM.
revision_of() {
  api "$1" GET /metrics 2>/dev/null |
    sed -n 's/^marjoramhall_revision \([0-9]*\).*/\1/p'
}

# holds_revision REVISION VM_NUMBER...: succeeds if all have it or a later one.
holds_revision() {
  local least=$1 it revision
  shift
  for it in "$@"; do
    revision=$(revision_of "$it")
    [ -n "$revision" ] && [ "$revision" -ge "$least" ] || return 1
  done
}

# fabric_list VM_NUMBER...: replaces the list of VMs that the fabric sends to.
fabric_list() {
  local it
  for it in "$@"; do
    echo "127.0.0.1:${flow_ports[$((it - 1))]}"
  done >"$dir/fabric.next"
  mv "$dir/fabric.next" "$dir/fabric.list"
}

# store_faults JSON: sets the faults of the store stand-in.
store_faults() {
  curl -sSf --max-time 5 -X PUT "http://127.0.0.1:$store_port/lab/faults" \
    -d "$1" >/dev/null
}

stop_all() {
  local it
  for it in "${!pids[@]}"; do
    kill -TERM "${pids[$it]}" 2>/dev/null || true
  done
  sleep 0.5
  for it in "${!pids[@]}"; do
    kill -KILL "${pids[$it]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

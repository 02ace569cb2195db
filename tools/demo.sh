#!/usr/bin/env bash
# Runs 7 VMs with stand-in targets on loopback under a load of flows and
# requests. Meanwhile it drains a target, stops a VM, takes the store down, lets
# operators make conflicting changes and kills a VM. Prints the result of each
# check, and exits with 1 if one failed. RESULT_DIR is deleted first.
#
#   tools/demo.sh BUILD_DIR [RESULT_DIR]
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$1/marjoramhall
lab=$1/marjoramhall-lab
dir=${2:-demo-run}
rm -rf "$dir"
mkdir -p "$dir"
source tools/site.sh
trap stop_all EXIT

readonly load_seconds=60
failures=0

say() { printf '%6.1f s  %s\n' "$(elapsed)" "$*"; }
elapsed() { echo "$EPOCHREALTIME $started" | awk '{print $1 - $2}'; }
started=$EPOCHREALTIME

# expect DESCRIPTION COMMAND...: counts a failure when the command fails.
expect() {
  local what=$1
  shift
  if "$@"; then
    say "ok      $what"
  else
    say "FAILED  $what"
    failures=$((failures + 1))
  fi
}

# exit_code_is CODE COMMAND...: succeeds if the command exits with that code.
exit_code_is() {
  local code=$1
  shift
  "$@" >>"$dir/operators.out" 2>&1
  [ $? -eq "$code" ]
}

# plan_change FILE VM_NUMBER OPERATIONS: writes a plan to FILE.
plan_change() {
  echo "$3" >"$dir/operations.json"
  "$bin" plan --settings "$dir/vm-$2.ini" --author demo --reason demo \
    --out "$dir/$1" "$dir/operations.json" >>"$dir/operators.out" 2>&1
}

# confirm_change FILE VM_NUMBER
confirm_change() {
  "$bin" confirm --settings "$dir/vm-$2.ini" "$dir/$1"
}

# change VM_NUMBER OPERATIONS: plans and confirms a change.
change() {
  plan_change change.plan "$1" "$2" &&
    confirm_change change.plan "$1" >>"$dir/operators.out" 2>&1
}

is_gone() {
  ! kill -0 "${pids[$1]}" 2>/dev/null
}

# stops_within SECONDS NAME: succeeds if the process exits with 0 in that time.
stops_within() {
  wait_for "$1" is_gone "$2" && wait "${pids[$2]}"
  local code=$?
  unset "pids[$2]"
  return "$code"
}

# endpoint_list ARRAY: prints the loopback addresses of an array of ports.
endpoint_list() {
  local -n ports_of="$1"
  local it list=
  for it in "${ports_of[@]}"; do
    list+=",127.0.0.1:$it"
  done
  echo "${list:1}"
}

start_site() {
  take_ports
  write_site
  start store "$lab" store --listen "127.0.0.1:$store_port" --seconds 300
  start yardbook "$lab" http-targets --service yardbook --median-ms 8 \
    --duration-s 300 $(listen_args yardbook_ports)
  start sitepics "$lab" http-targets --service sitepics --median-ms 40 \
    --duration-s 300 $(listen_args sitepics_ports)
  wait_for 10 is_ready store && wait_for 10 is_ready yardbook &&
    wait_for 10 is_ready sitepics || exit 1
  local i
  for ((i = 1; i <= vm_count; i++)); do
    start_vm "$i"
  done
}

start_load() {
  fabric_list 1 2 3 4 5 6 7
  start flows "$lab" flow-load --vm-list "$dir/fabric.list" \
    --service "203.0.113.10:443=$(endpoint_list yardbook_flow_ports)" \
    --service "203.0.113.11:443=$(endpoint_list sitepics_flow_ports)" \
    --rate 500 --duration "$load_seconds"
  start requests "$lab" http-load \
    $(printf -- '--vm 127.0.0.1:%d ' "${request_ports[@]:0:7}") \
    --kind name=board,host=yardbook.example,service=yardbook,method=GET,path=/board,share=0.75 \
    --kind name=quote,host=yardbook.example,service=yardbook,method=POST,path=/quotes,keyed=1,body=300,share=0.15 \
    --kind name=bundle,host=sitepics.example,service=sitepics,method=GET,path=/bundles,answer=200000,share=0.1 \
    --targets "127.0.0.1:${yardbook_ports[0]}" \
    --targets "127.0.0.1:${sitepics_ports[0]}" \
    --rate 300 --duration-s "$load_seconds"
}

# The plan must succeed, so that only the confirm can fail.
refuses_during_outage() {
  plan_change outage.plan 1 '[{"op":"set-weight","name":"yardbook-4","weight":50}]' &&
    exit_code_is 1 confirm_change outage.plan 1
}

# All plans are based on the same revision. The second change affects the same
# target as the first and must be refused. The third one affects another target
# and must be merged. A repeated confirm of the first must succeed.
race_operators() {
  plan_change first.plan 1 '[{"op":"set-weight","name":"yardbook-5","weight":50}]' &&
    plan_change second.plan 4 '[{"op":"set-weight","name":"yardbook-5","weight":150}]' &&
    plan_change third.plan 6 '[{"op":"set-weight","name":"yardbook-6","weight":150}]' ||
    return 1
  exit_code_is 0 confirm_change first.plan 1 &&
    exit_code_is 3 confirm_change second.plan 4 &&
    exit_code_is 0 confirm_change third.plan 6 &&
    exit_code_is 0 confirm_change first.plan 7
}

start_site
expect "all VMs have the first configuration" \
  wait_for 20 holds_revision 1 1 2 3 4 5 6 7
start_load
sleep 6
expect "drain of yardbook-3 planned and confirmed" \
  change 1 '[{"op":"drain-target","name":"yardbook-3"}]'
expect "in force on all VMs within 3 s" wait_for 3 holds_revision 2 1 2 3 4 5 6 7
sleep 4
kill -TERM "${pids[vm-2]}"
say "vm-2 gets SIGTERM; the fabric's list is updated after 2 s"
sleep 2
fabric_list 1 3 4 5 6 7
# The stop deadline is 30 s. The limit on control traffic makes the hand-over of
# flow state take most of it.
expect "vm-2 finishes its flows and requests and exits with 0" stops_within 32 vm-2
store_faults '{"down":true}'
say "store is down"
expect "a confirm during the outage is not accepted" \
  refuses_during_outage
start_vm 8
expect "vm-8 joins during the outage and gets the configuration from peers" \
  wait_for 10 holds_revision 2 8
fabric_list 1 3 4 5 6 7 8
sleep 1
store_faults '{"down":false}'
say "store is up"
sleep 3
expect "conflicting operators: one change accepted, one refused, one merged" race_operators
sleep 2
kill -KILL "${pids[vm-5]}"
wait "${pids[vm-5]}" 2>/dev/null
unset "pids[vm-5]"
say "vm-5 killed; the fabric's list is updated after 2 s"
sleep 2
fabric_list 1 3 4 6 7 8
wait "${pids[flows]}"
flows_code=$?
wait "${pids[requests]}"
requests_code=$?
unset "pids[flows]" "pids[requests]"
grep -hv '^{\|^ready' "$dir/flows.out"
cat "$dir/flows.err" "$dir/requests.err"
expect "no flow broken or misrouted" [ "$flows_code" -eq 0 ]
expect "no request lost, doubled, misrouted or crossed" [ "$requests_code" -eq 0 ]
expect "the remaining VMs have the last revision" wait_for 5 holds_revision 4 1 3 4 6 7 8
echo
if [ "$failures" -gt 0 ]; then
  echo "demo: $failures checks FAILED; logs are in $dir"
  exit 1
fi
echo "demo: all checks passed; logs are in $dir"

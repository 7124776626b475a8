#!/usr/bin/env bash
# Runs the main functions of the system on loopback, with every program as a separate process and stand-in programs for the
# platform and the endpoints.
# Exits with 0 only if every step passed, and leaves no process running.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$(mktemp -d)
pids=()
names=()

cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

port=$((21000 + RANDOM % 9000))
free_address() {
  port=$((port + 1))
  while (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; do port=$((port + 1)); done
  address=127.0.0.1:$port
}

step() { printf '%-62s ' "$1"; }
passed() { echo "ok${1:+: $1}"; }
failed() {
  echo "FAILED: $1"
  tail -n 5 "$dir"/*.log >&2 || true
  exit 1
}
wait_until() {
  local n
  for n in $(seq 1 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  return 1
}

start() {
  local name=$1 program=$2
  "$bin/$program" serve --settings "$dir/$name.toml" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

for name in platform platform_ops engine1 engine1_ops engine2 engine2_ops service service_ops \
  caller1 operator1 peer1 ops1 caller2 operator2 peer2 ops2; do
  free_address
  declare "$name=$address"
done

token=demo-operator-token
key=$("$bin/cowslipshunt" key new)
key_digest=$("$bin/cowslipshunt" key digest <<<"$key")
token_digest=$("$bin/cowslipshunt" key digest <<<"$token")
export COWSLIPSHUNT_TOKEN=$token
peer_secret=$("$bin/cowslipshunt" key new)

for n in 1 2; do
  engine=engine$n engine_ops=engine${n}_ops
  cat >"$dir/engine$n.toml" <<TOML
Address = "${!engine}"
OperationsAddress = "${!engine_ops}"
Endpoint = "drafting-$n"
ChecksFencing = true
OrderMillis = 200
TOML
done
cat >"$dir/service.toml" <<TOML
Address = "$service"
OperationsAddress = "$service_ops"
Endpoint = "booking-1"
TOML
cat >"$dir/platform.toml" <<TOML
Address = "$platform"
OperationsAddress = "$platform_ops"
Endpoint = [
  { Endpoint = "drafting-1", Domain = "qld-a", Kind = "drafting", Address = "$engine1" },
  { Endpoint = "drafting-2", Domain = "qld-a", Kind = "drafting", Address = "$engine2" },
  { Endpoint = "booking-1", Domain = "qld-a", Kind = "booking", Address = "$service" },
]
TOML
for n in 1 2; do
  other=$((3 - n))
  caller=caller$n operator=operator$n peer=peer$n ops=ops$n other_peer=peer$other
  cat >"$dir/entry$n.toml" <<TOML
Instance = "entry-$n"
Domain = "qld-a"
Address = "${!caller}"
OperatorAddress = "${!operator}"
PeerAddress = "${!peer}"
OperationsAddress = "${!ops}"
Platform = "$platform"
PeerSecret = "$peer_secret"
WindowSeconds = 5
Peer = [{ Instance = "entry-$other", Domain = "qld-a", Address = "${!other_peer}" }]
Operator = [{ Name = "board", TokenDigest = "$token_digest" }]
TOML
done
cat >"$dir/document.toml" <<TOML
[[Model]]
Name = "itinerary"
Version = "1"
PromptPrice = 1000
OutputPrice = 4000

[[EndpointKind]]
Name = "drafting"
Serves = "Model"
Model = "itinerary"
ChecksFencing = true
Concurrency = 16

[[EndpointKind]]
Name = "booking"
Serves = "Service"
Service = "booking"
Concurrency = 16

[[Fleet]]
Domain = "qld-a"
Kind = "drafting"
Count = 2

[[Fleet]]
Domain = "qld-a"
Kind = "booking"
Count = 1

[[Route]]
Service = "booking"
Prefix = "/bookings"
Method = "POST"
Repeatable = false
Price = 500

[[Workspace]]
Name = "bluegum-venues"
Models = ["itinerary"]
Services = ["booking"]

[[Workspace.Key]]
Digest = "$key_digest"
Label = "demo"
TOML

step "start stand-ins: platform, two engines, a booking service"
start platform standin-platform
start engine1 standin-engine
start engine2 standin-engine
start service standin-service
wait_until curl -fsS "http://$platform/instances" || failed "the platform does not answer"
passed
step "start two entries"
for n in 1 2; do
  start "entry$n" entry
done
wait_until curl -fsS "http://$ops1/healthz" || failed "entry-1 does not answer"
wait_until curl -fsS "http://$ops2/healthz" || failed "entry-2 does not answer"
passed

step "an operator checks and submits a document"
"$bin/cowslipshunt" document check "$dir/document.toml" >/dev/null 2>&1 || failed "document check rejected the document"
"$bin/cowslipshunt" --entry "$operator1" document submit "$dir/document.toml" --base 0 --why "first document" >"$dir/submit.out" 2>"$dir/submit.err" || failed "$(cat "$dir/submit.out")"
wait_until curl -fsS "http://$ops2/readyz" || failed "entry-2 is not ready"
passed "$(head -n 1 "$dir/submit.out")"

step "the lease holder orders endpoints and loads the model"
chat='{"model":"itinerary","max_tokens":8,"messages":[{"role":"user","content":"plan a route from cairns to hall four"}]}'
call_entry() { curl -fsS -m 20 -H "Authorization: Bearer $key" -H 'Content-Type: application/json' "$@"; }
wait_until call_entry -d "$chat" "http://$caller1/v1/chat/completions" || failed "no chat request was answered"
passed

step "a plain chat answer"
plain=$(call_entry -d "$chat" "http://$caller1/v1/chat/completions") || failed "no answer"
grep -q '"finish_reason"' <<<"$plain" || failed "the answer is not complete: $plain"
passed

step "a streamed chat answer, by the other entry"
stream=$(call_entry -N -d "${chat%\}},\"stream\":true}" "http://$caller2/v1/chat/completions") || failed "no answer"
grep -q '^data: \[DONE\]' <<<"$stream" || failed "the stream is not complete"
passed "$(grep -c '^data: {' <<<"$stream") events and [DONE]"

step "a booking, sent twice with one Idempotency-Key"
book() { call_entry -H 'Idempotency-Key: demo-booking' -d '{"Booking":"hall-four"}' "$1/services/booking/bookings"; }
wait_until book "http://$caller1" || failed "no answer"
first=$(book "http://$caller1") || failed "no answer"
second=$(book "http://$caller2") || failed "no answer to the repeated booking"
[ "$first" = "$second" ] || failed "the repeated booking got another answer: $first and $second"
runs=$(curl -fsS "http://$service/bookings/hall-four")
grep -q '"Runs":1[,}]' <<<"$runs" || failed "the booking did not run exactly once: $runs"
passed "ran once"

step "a key that is not in the document"
refusal=$(curl -sS -m 10 -H "Authorization: Bearer wrong" -d "$chat" "http://$caller1/v1/chat/completions")
grep -q '"Outcome":"NotRun"' <<<"$refusal" || failed "expected a refusal with Outcome NotRun, got: $refusal"
passed "refused, Outcome NotRun"

step "the usage window reaches the platform"
reported() { curl -fsS "http://$platform/received/usage" | grep -q bluegum-venues; }
wait_until reported || failed "the platform received no usage report"
passed
curl -fsS "http://$platform/received/usage" | tr '{' '\n' | grep bluegum-venues | sed 's/[]}],*$//; s/^/    /'

step "the audit trail"
"$bin/cowslipshunt" --entry "$operator1" audit >"$dir/audit.out" || failed "$(cat "$dir/audit.out")"
grep -q "first document" "$dir/audit.out" || failed "the audit does not list the submission"
passed
sed 's/^/    /' "$dir/audit.out"

step "SIGTERM to every process"
for i in $(seq $((${#pids[@]} - 1)) -1 0); do
  kill -TERM "${pids[$i]}"
  code=0
  wait "${pids[$i]}" || code=$?
  [ "$code" = 0 ] || failed "${names[$i]} exited $code"
done
pids=()
passed "all exited 0"

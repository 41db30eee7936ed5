# Functions that start one user's deployment as separate processes on distinct
# loopback addresses, and end it. To be sourced by a script in scripts/.

dir=$(mktemp -d)
declare -A pid=()
platform=127.0.0.2:7000 origin=127.0.0.3:7100
size=16777216 # Bytes of the model: a small one, so that runs are short.
admins=() gateways=() ledgers=() engines=() agents=() entries=()

# stop ends everything that was started, by id.
stop() {
  for p in "${pid[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill -TERM "$p" 2>/dev/null || true; done
  for _ in $(seq 60); do
    local left=0
    for p in "${pid[@]}"; do if kill -0 "$p" 2>/dev/null; then left=1; fi; done
    if [ "$left" = 0 ]; then break; fi
    sleep 0.1
  done
  for p in "${pid[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS"; cp -r "$dir/." "$KEEP_LOGS"; fi
  rm -rf "$dir"
}
trap stop EXIT

# start NAME COMMAND...: one process, its output in a log of that name.
start() {
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pid[$name]=$!
}

start_gateway() { start "$1" bin/poststand gateway --settings "$dir/$1.yaml"; }
start_agent() { start "$1" bin/poststand agent --settings "$dir/$1.yaml"; }

join="[127.1.1.1:7400, 127.1.2.1:7400, 127.1.3.1:7400]"

add_gateway() { # NAME HALL IP
  cat >"$dir/$1.yaml" <<Y
cluster: izbori
box: $1
hall: $2
listen: $3:7400
admin: $3:7480
http: $3:8080
platform: http://$platform
join: $join
linger_for: 300ms
drain_for: 5s
Y
  admins+=("$3:7480") gateways+=("http://$3:8080") entries+=("$1")
  start_gateway "$1"
}

add_agent() { # NAME HALL IP [SETTING] [LINK]
  cat >"$dir/$1.yaml" <<Y
cluster: izbori
box: $1
hall: $2
listen: $3:7400
admin: $3:7480
source: $3:7500
engine: http://$3:7200
origin: http://$origin
join: $join
memory: 67108864
link_bytes_second: ${5:-8000000}
${4:-}
drain_for: 5s
Y
  admins+=("$3:7480") ledgers+=("http://$3:7200") agents+=("$1")
  start_agent "$1"
}

# start_izbori starts the platform, the origin, 6 gateways and 16 upstreams.
start_izbori() {
  start platform bin/poststand-standin platform --listen $platform
  start origin bin/poststand-standin origin --listen $origin --link 16000000 --box-link 8000000 \
    --artifact "summariser/v1:$size:262144" --artifact "summariser/v2:$size:262144" \
    --artifact summariser-croatian/v1:524288:131072
  local hall=0 name g b box ip classes
  for name in zagreb split osijek; do
    hall=$((hall + 1))
    for g in 1 2; do add_gateway "$name-gw$g" $name 127.1.$hall.$g; done
    classes="engine1 engine2 engine3 engine4 results1"
    if [ "$name" = zagreb ]; then classes="$classes admin1"; fi
    b=0
    for box in $classes; do
      b=$((b + 1))
      ip=127.2.$hall.$b
      case $box in
      engine*)
        start "$name-$box-engine" bin/poststand-standin engine --listen $ip:7200
        engines+=("$ip:7480")
        ;;
      results*) start "$name-$box-plain" bin/poststand-standin plain --name results --listen $ip:7200 ;;
      admin*) start "$name-$box-plain" bin/poststand-standin plain --name billing --listen $ip:7200 ;;
      esac
      add_agent "$name-$box" $name $ip
    done
  done
  # The window in which a box's link carries two copies: 2 * 16 MiB / 8 MB a
  # second. Keys are remembered for a few seconds only, so that runs are short.
  mkdir "$dir/config"
  cp examples/izbori/*.yaml "$dir/config/"
  sed -i 's/window: 4m/window: 4200ms/; s/ deadline: 10s/ deadline: 4s/; s/max_deadline: 30s/max_deadline: 4s/; s/key_window: 2m/key_window: 6s/' "$dir/config/halls.yaml"
}

publish() { bin/poststand-standin publish --platform http://$platform "$@" >/dev/null; }

apply_version() { # v1 or v2
  sed -i "s/ version: v[12]/ version: $1/" "$dir/config/services.yaml"
  publish "$dir/config"
}

# serving prints how many engines' agents serve.
serving() { bin/poststand status "${engines[@]}" 2>/dev/null | grep -c "state=serving" || true; }

# await_serving N TRIES: waits until N engines serve.
await_serving() {
  for _ in $(seq "$2"); do
    if [ "$(serving)" = "$1" ]; then return 0; fi
    sleep 0.05
  done
  return 1
}

control() { # HOST:PORT METHOD PATH BODY
  exec 3<>"/dev/tcp/${1%:*}/${1#*:}"
  printf '%s %s HTTP/1.0\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' "$2" "$3" "${#4}" "$4" >&3
  cat <&3
  exec 3>&-
}

stat() { control "$1" GET /control/stats "" | sed -n "s/.*\"$2\":\([0-9]*\).*/\1/p"; } # HOST:PORT KEY

load_args() { # prints the arguments of the load tool, a line each
  local v
  for v in "${gateways[@]}"; do printf '%s\n%s\n' --gateway "$v"; done
  for v in "${ledgers[@]}"; do printf '%s\n%s\n' --ledger "$v"; done
  for v in zagreb-county split-county osijek-county rijeka-news lika-radio; do printf '%s\n%s\n' --organisation "$v"; done
}

now() { date +%s%3N; }

#!/usr/bin/env bash
# Guards against exit codes and outputs of the command line tool that differ from its documentation,
# and against a change that is resent under a different id after its response was lost.
set -uo pipefail
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'kill "$server" 2>/dev/null; rm -rf "$work"' EXIT
failures=0

# A stand-in for the admin server: it sends no response to the first POST and records the path of
# every POST.
cat >"$work/server.py" <<'PYTHON'
import http.server, json, sys
log, post_count = open(sys.argv[1], "a", buffering=1), 0
RESPONSES = {
    "/v1/spend": (200, {"revision": 4, "budgets": [
        {"budget": "w:t/large", "bought": 1000, "free": 7}, {"budget": "w:t/s", "bought": 5}]}),
    "/v1/documents/t": (200, {"team": "t", "version": 3, "text": "[team]\nname = t\n"}),
    "/v1/endpoints": (503, {"error": {"type": "no_quorum", "message": "no leader"}}),
    "/v1/versions": (401, {"error": {"type": "unauthenticated", "message": "wrong key"}}),
}
class Handler(http.server.BaseHTTPRequestHandler):
    def respond(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
    def do_GET(self):
        self.respond(*RESPONSES.get(self.path, (404, {"error": {"type": "not_found", "message": "none"}})))
    def do_POST(self):
        global post_count
        post_count += 1
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        log.write(self.path + "\n")
        if post_count == 1:
            self.close_connection = True
        elif "base=9" in self.path:
            self.respond(409, {"error": {"type": "version_conflict", "message": "version 10 was accepted first"}})
        else:
            self.respond(200, {"team": "ferreira", "version": 1})
    def log_message(self, *args):
        pass
server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
print(server.server_port, flush=True)
server.serve_forever()
PYTHON
python3 "$work/server.py" "$work/log" >"$work/port" &
server=$!
for _ in $(seq 100); do [ -s "$work/port" ] && break; sleep 0.05; done
server_address=127.0.0.1:$(cat "$work/port")
unreachable_address=127.0.0.1:1
unset FIGCHUTE_SERVER
export FIGCHUTE_KEY=operator-key

# expect CODE ARGUMENT...: runs the tool, saves its output and checks the exit code.
expect() {
  local expected_code=$1
  shift
  "$build/figchute" "$@" >"$work/out" 2>"$work/err" </dev/null
  local actual_code=$?
  if [ "$actual_code" -ne "$expected_code" ]; then
    echo "FAIL: figchute $*: exit code $actual_code, expected $expected_code"
    cat "$work/out" "$work/err"
    failures=$((failures + 1))
  fi
}
# contains STREAM TEXT: checks that the saved output "out" or "err" contains the text.
contains() {
  if ! grep -qF -- "$2" "$work/$1"; then
    echo "FAIL: \"$2\" is not in the output:"
    cat "$work/$1"
    failures=$((failures + 1))
  fi
}

for name in ferreira cwmgarn entry control; do
  expect 0 check "examples/$name.ini"
done
printf '[team]\nname = a b\n[model.m]\nmax = 1\n' >"$work/bad.ini"
expect 2 check "$work/bad.ini"
contains out "2  team     name  a b"
contains out "4  model.m  max   unknown key"
expect 2 check --json "$work/bad.ini"
contains out '"line":4,"section":"model.m","key":"max"'
printf '[process]\nid = p\n' >"$work/settings.ini"
expect 2 check "$work/settings.ini"
contains out "zone"

expect 0 --help
contains out "member add|remove ID"
for command in check apply show history spend service endpoints versions members member retire dump trace; do
  expect 0 "$command" --help
  contains out "Usage: figchute $command"
done
expect 1
expect 1 nonsense
expect 1 --nonsense
expect 1 check
expect 1 check "$work/none.ini"
expect 1 check "$work/bad.ini" extra
expect 1 spend
expect 1 --server localhost:80 spend
expect 1 --server $server_address member rename x
expect 1 --server $server_address show "a/b"
expect 1 --server $server_address apply examples/ferreira.ini
expect 1 --server $server_address apply examples/ferreira.ini --base x
FIGCHUTE_KEY='' expect 1 --server $server_address spend
expect 2 --server $server_address apply "$work/bad.ini" --base 0

expect 0 --server $unreachable_address,$server_address apply examples/ferreira.ini --base 0
contains out "version: 1"
contains err "change: "
change=$(sed -n 's/^change: //p' "$work/err")
if [ "$(sort -u "$work/log")" != "/v1/documents/ferreira?base=0&change=$change" ] ||
  [ "$(wc -l <"$work/log")" -ne 2 ]; then
  echo "FAIL: the change was not resent under its id:"
  cat "$work/log"
  failures=$((failures + 1))
fi
expect 3 --server $server_address apply examples/ferreira.ini --base 9 --change mine
contains err "version_conflict: version 10 was accepted first"
FIGCHUTE_SERVER=$server_address expect 0 spend
contains out "revision: 4"
contains out "w:t/large    1000     7"
expect 0 spend --json --server $unreachable_address --server $server_address
contains out '"revision":4'
expect 0 --server $server_address show t
contains out "name = t"
contains err "version: 3"
expect 2 --server $server_address show other
expect 2 --server $server_address versions
expect 4 --server $server_address endpoints
expect 4 --server $unreachable_address spend
contains err "no_endpoint"

# A trace of several logs, of standard input and of a log that cannot be read.
cat >"$work/a.log" <<'LOG'
time=6.500000 process=a event=control_lost control=""
not a log line
time=7.000000 process=a event=request request=r1 endpoint=i1 detail="a \"b\""
LOG
printf 'host-b | time=5.000000 process=b event=send_failed request=r1 endpoint=i1\n' >"$work/b.log"
expect 0 trace r1 "$work/a.log" "$work/b.log"
if [ "$(cut -c1-26 "$work/out")" != "request  time=5.000000 pro
context  time=6.500000 pro
request  time=7.000000 pro" ]; then
  echo "FAIL: trace printed unexpected lines or an unexpected order:"
  cat "$work/out"
  failures=$((failures + 1))
fi
contains err "1 malformed lines skipped"
expect 0 trace --json r1 "$work/a.log"
contains out '{"context":true,"time_us":6500000,"process":"a","event":"control_lost","fields":{"control":""}}'
contains out '"detail":"a \"b\""'
expect 2 trace r2 "$work/a.log" "$work/b.log"
contains err 'no line of request "r2"'
expect 4 trace r1 "$work/none.log" "$work/a.log"
contains err "cannot read file \"$work/none.log\""
contains out "time=7.000000"
expect 4 trace r1 "$work"
expect 1 trace r1
expect 1 trace "" "$work/a.log"
if [ "$("$build/figchute" trace r1 - <"$work/b.log" | wc -l)" -ne 1 ]; then
  echo "FAIL: trace does not read standard input"
  failures=$((failures + 1))
fi

# The settings check of the daemon lists every error.
printf '[process]\nid = x y\ncolour = red\n' >"$work/bad.ini"
"$build/figchuted" --config "$work/bad.ini" --check >"$work/out" 2>"$work/err"
if [ $? -ne 2 ] || ! grep -q 'colour' "$work/err" || ! grep -q 'id = "x y"' "$work/err"; then
  echo "FAIL: figchuted --check did not list every error:"
  cat "$work/err"
  failures=$((failures + 1))
fi
"$build/figchuted" --config examples/entry.ini --check >"$work/out" 2>&1 || {
  echo "FAIL: figchuted --check rejected examples/entry.ini"
  failures=$((failures + 1))
}

[ "$failures" -eq 0 ] && echo "cli_test: ok"
exit "$((failures > 0))"

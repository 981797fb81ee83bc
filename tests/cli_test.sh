#!/usr/bin/env bash
# Guards against exit codes and outputs of the command line tool that differ from its pages, and
# against a change that is sent under another id after its answer was lost.
set -uo pipefail
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'kill "$server" 2>/dev/null; rm -rf "$work"' EXIT
failures=0

# A stand-in for the admin server: it drops the answer to the first POST and notes all requests.
cat >"$work/server.py" <<'PYTHON'
import http.server, json, sys
log, posts = open(sys.argv[1], "a", buffering=1), 0
ANSWERS = {
    "/v1/spend": (200, {"revision": 4, "budgets": [
        {"budget": "w:t/large", "bought": 1000, "free": 7}, {"budget": "w:t/s", "bought": 5}]}),
    "/v1/documents/t": (200, {"team": "t", "version": 3, "text": "[team]\nname = t\n"}),
    "/v1/endpoints": (503, {"error": {"type": "no_quorum", "message": "no leader"}}),
    "/v1/versions": (401, {"error": {"type": "unauthenticated", "message": "wrong key"}}),
}
class Handler(http.server.BaseHTTPRequestHandler):
    def answer(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
    def do_GET(self):
        self.answer(*ANSWERS.get(self.path, (404, {"error": {"type": "not_found", "message": "none"}})))
    def do_POST(self):
        global posts
        posts += 1
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        log.write(self.path + "\n")
        if posts == 1:
            self.close_connection = True
        elif "base=9" in self.path:
            self.answer(409, {"error": {"type": "version_conflict", "message": "version 10 won"}})
        else:
            self.answer(200, {"team": "ferreira", "version": 1})
    def log_message(self, *args):
        pass
server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
print(server.server_port, flush=True)
server.serve_forever()
PYTHON
python3 "$work/server.py" "$work/log" >"$work/port" &
server=$!
for _ in $(seq 100); do [ -s "$work/port" ] && break; sleep 0.05; done
live=127.0.0.1:$(cat "$work/port")
dead=127.0.0.1:1
unset FIGCHUTE_SERVER
export FIGCHUTE_KEY=operator-key

# expect CODE ARGUMENT...: runs the tool, keeps its output and compares the exit code.
expect() {
  local code=$1
  shift
  "$build/figchute" "$@" >"$work/out" 2>"$work/err" </dev/null
  local got=$?
  if [ "$got" -ne "$code" ]; then
    echo "FAIL: figchute $*: exit code $got, expected $code"
    cat "$work/out" "$work/err"
    failures=$((failures + 1))
  fi
}
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
expect 1 --server $live member rename x
expect 1 --server $live show "a/b"
expect 1 --server $live apply examples/ferreira.ini
expect 1 --server $live apply examples/ferreira.ini --base x
FIGCHUTE_KEY='' expect 1 --server $live spend
expect 2 --server $live apply "$work/bad.ini" --base 0

expect 0 --server $dead,$live apply examples/ferreira.ini --base 0
contains out "version: 1"
contains err "change: "
change=$(sed -n 's/^change: //p' "$work/err")
if [ "$(sort -u "$work/log")" != "/v1/documents/ferreira?base=0&change=$change" ] ||
  [ "$(wc -l <"$work/log")" -ne 2 ]; then
  echo "FAIL: the change was not resent under its id:"
  cat "$work/log"
  failures=$((failures + 1))
fi
expect 3 --server $live apply examples/ferreira.ini --base 9 --change mine
contains err "version_conflict: version 10 won"
FIGCHUTE_SERVER=$live expect 0 spend
contains out "revision: 4"
contains out "w:t/large    1000     7"
expect 0 spend --json --server $dead --server $live
contains out '"revision":4'
expect 0 --server $live show t
contains out "name = t"
contains err "version: 3"
expect 2 --server $live show other
expect 2 --server $live versions
expect 4 --server $live endpoints
expect 4 --server $dead spend
contains err "no_endpoint"

# A trace over several logs, the standard input and a log that cannot be read.
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
  echo "FAIL: trace has other lines or another order:"
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
  echo "FAIL: trace does not read the standard input"
  failures=$((failures + 1))
fi

# The daemon's own check of its settings lists every fault.
printf '[process]\nid = x y\ncolour = red\n' >"$work/bad.ini"
"$build/figchuted" --config "$work/bad.ini" --check >"$work/out" 2>"$work/err"
if [ $? -ne 2 ] || ! grep -q 'colour' "$work/err" || ! grep -q 'id = "x y"' "$work/err"; then
  echo "FAIL: figchuted --check did not list every fault:"
  cat "$work/err"
  failures=$((failures + 1))
fi
"$build/figchuted" --config examples/entry.ini --check >"$work/out" 2>&1 || {
  echo "FAIL: figchuted --check refused examples/entry.ini"
  failures=$((failures + 1))
}

[ "$failures" -eq 0 ] && echo "cli_test: ok"
exit "$((failures > 0))"

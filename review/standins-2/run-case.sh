# Sourced by each case's run.sh, with `number` set: runs the case's stand-ins, which start the director by the deploy
# file's `run` line. Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run.
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
program=build/review-2/case$number
[ -n "$run" ] && [ -x "$program" ] && [ -x build/ivyfield ] || {
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
}
folder=$(mktemp -d) || exit 2
pid=
trap 'rm -rf "$folder"' EXIT
trap '[ -n "$pid" ] && kill "$pid"; exit 2' INT TERM HUP
# The director gets a kill when the stand-ins end, however they end.
timeout -k 5 110 "$program" "$run" "$case_folder/record.txt" "$folder" "${TROUBLE:-1}" &
pid=$!
wait "$pid"
code=$?
[ -f "$folder/director.log" ] && sed 's/^/director log: /' "$folder/director.log" >> "$case_folder/record.txt"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac

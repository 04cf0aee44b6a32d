#!/usr/bin/env bash
# Plays this case against a sidecar that is started by the command `run` of the deploy file. Exit status: 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -f "$root/edge/target/lemonrail.jar" ] || [ ! -d "$root/review/target" ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
player=
finish() {
    [ -z "$player" ] || kill "$player" 2>/dev/null
    [ -z "$player" ] || wait "$player" 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout 110 java -Xmx256m -cp "$root/review/target" RestartCase "$root" "$here" "${TROUBLE:-1}" "$work" &
player=$!
wait "$player"
status=$?
player=
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac

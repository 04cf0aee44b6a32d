#!/bin/sh
# Builds the program, then runs it once, for nobody, to keep its loaded classes in an archive beside the
# jar: a sidecar that starts from it is ready sooner. Without the archive the program runs all the same.
set -eu
cd "$(dirname "$0")/.."
mvn -q -DskipTests -pl edge -am package
rm -f edge/target/lemonrail.jsa
cat > edge/target/archive.json <<'JSON'
{"name":"archive","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":0,"full":true,"servers":[]},
 "settings":{"azs":["a"],"models":[],"membership-mode":"on_request",
  "classes":[{"name":"read","effect":"repeatable","slo-ms":500,"hard-limit-ms":1000},
             {"name":"order","effect":"once","slo-ms":500,"hard-limit-ms":1000}],
  "limits":{"dial-timeout-ms":200,"idle-close-ms":15000,"try-limit":3},"rules":{}}}
JSON
GW_CONFIG=edge/target/archive.json java -XX:+UseSerialGC -XX:ArchiveClassesAtExit=edge/target/lemonrail.jsa \
    -jar edge/target/lemonrail.jar serve > edge/target/archive.log 2>&1 &
pid=$!
tries=0
while ! grep -q "warm after" edge/target/archive.log && [ $tries -lt 100 ]; do
    tries=$((tries + 1))
    sleep 0.1
done
kill -TERM $pid || true
wait $pid || echo "build.sh: no class archive was made; see edge/target/archive.log" >&2

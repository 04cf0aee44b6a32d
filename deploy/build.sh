#!/bin/sh
# Builds the program, then runs its commands serve and benchlink once each, without clients, to dump their loaded
# classes to class data sharing archives beside the jar. A process that uses an archive starts faster; without one the
# program runs as well.
set -eu
cd "$(dirname "$0")/.."
target=edge/target
jar=$target/lemonrail.jar
mvn -q -DskipTests -pl edge -am package
rm -f $target/serve.jsa $target/benchlink.jsa

cat > $target/archive.json <<'JSON'
{"name":"archive","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":0,"full":true,"servers":[]},
 "settings":{"azs":["a"],"models":[],"membership-mode":"on_request",
  "classes":[{"name":"read","effect":"repeatable","slo-ms":500,"hard-limit-ms":1000},
             {"name":"order","effect":"once","slo-ms":500,"hard-limit-ms":1000}],
  "limits":{"dial-timeout-ms":200,"idle-close-ms":15000,"try-limit":3},"rules":{}}}
JSON
GW_CONFIG=$target/archive.json java -XX:+UseSerialGC -XX:ArchiveClassesAtExit=$target/serve.jsa -jar $jar serve \
    > $target/archive.log 2>&1 &
pid=$!
tries=0
while ! grep -q "warm after" $target/archive.log && [ $tries -lt 100 ]; do
    tries=$((tries + 1))
    sleep 0.1
done
kill -TERM $pid || true
wait $pid || echo "build.sh: class archive for serve not created; see $target/archive.log" >&2

cat > $target/archive.batches <<'JSON'
{"wall-ms":4000,"batch":0,"parts":[{"i":"a/0","in":[{"kind":"Spawn","init-seed":1,"params":{"azs":["a"],
 "classes":[{"effect":"repeatable","group":"all","hard-limit-ms":3000,"name":"get","slo-ms":1000,"worth":1}],
 "limits":{"cancel":true,"dial-timeout-ms":200,"max-retry-after-ms":2000,"try-limit":3},
 "load-info":{"how":"silent"},"membership-mode":"pushed","projects":[{"allowance-per-s":9,"name":"t","share":1}],
 "replicas-of-me":1,"rules":{"cold-ms":8000,"cold-share":0.3,"drain-grace-ms":1000,"fall-ms":1000,
 "tip-multiple":3},"slot-no":0,"tier":0,"zone":0}},{"kind":"Inventory","ref":0,"entries":[
 {"endpoint":"e1","state":1,"share":1},{"endpoint":"e2","state":1,"share":1}]},
 {"kind":"Endpoints","mode":0,"rev":1,"ref":0}]}]}
{"wall-ms":4005,"batch":1,"parts":[{"i":"a/0","in":[
 {"kind":"Query","msg-id":"q1","drop-dead-ms":6000,"type":0}]}]}
{"wall-ms":4205,"batch":2,"parts":[{"i":"a/0","in":[
 {"kind":"Finished","msg-id":"q1","hop":0,"endpoint":"e1","reason":"ResetByPeer","rtt-ms":5},
 {"kind":"Finished","msg-id":"q1","hop":1,"endpoint":"e2","reason":"Ok","rtt-ms":5,"done-flag":true}]}]}
JSON
java -XX:+UseSerialGC -XX:ArchiveClassesAtExit=$target/benchlink.jsa -jar $jar benchlink \
    < $target/archive.batches > $target/archive.replies 2> $target/archive.log \
    || echo "build.sh: class archive for benchlink not created; see $target/archive.log" >&2

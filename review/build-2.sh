#!/bin/sh
# Compiles the stand-ins of the second review's cases. Needs the JDK and nothing else.
set -eu
cd "$(dirname "$0")/stand-ins-2"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -d target ./*.java

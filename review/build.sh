#!/usr/bin/env bash
# Builds the stand-ins of all cases, with the JDK alone: clients, endpoints and discovery in review/target.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
javac -Xlint:all -encoding UTF-8 -d target stand-ins/*.java

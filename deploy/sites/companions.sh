#!/bin/sh
# Copies the companion files of the other customer's deployment, unchanged, into this folder. They are not part of
# the repository.
# Usage: deploy/sites/companions.sh FOLDER, where FOLDER contains real.json, wire.json and unlock.txt.
set -eu
[ $# -eq 1 ] || { echo "companions.sh: expected one argument: the folder with the companion files" >&2; exit 2; }
for name in real.json wire.json unlock.txt; do
    cp -f "$1/$name" "$(dirname "$0")/$name"
done

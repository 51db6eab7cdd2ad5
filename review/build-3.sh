#!/bin/sh
# Compiles the stand-ins in rig3 and the scripts of cases 11 to 14, which use
# Python's standard library only. The nodes come from deploy/build.sh.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q rig3
for script in 1[1-5]/play.py; do
    [ ! -f "$script" ] || python3 -m py_compile "$script"
done

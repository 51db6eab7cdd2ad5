#!/bin/sh
# Puts the pinned packages and the project's libraries into target/deps.
set -eu
deps=target/deps
stamp=target/requirements.stamp
if ! cmp -s requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r requirements.txt
    cp requirements.txt "$stamp"
fi
rm -rf "$deps/auburnjunction"
for lib in libs/*/ platform/; do
    cp -r "${lib}auburnjunction" "$deps/"
done

#!/bin/sh
# Installs the pinned packages and the project's libraries into target/deps,
# compiled with -OO as at run time: docstrings would take 5 MB per process.
set -eu
deps=target/deps
stamp=target/built
mkdir -p target
compile() {
    # Copies of the tree may have different modification times, so compiled
    # files can't be validated by time.
    python3 -OO -m compileall -q --invalidation-mode unchecked-hash "$1"
}
cat requirements.txt deploy/build.sh > target/wanted
if ! cmp -s target/wanted "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install -q --no-compile --target "$deps" \
        -r requirements.txt
    compile "$deps"
    mv target/wanted "$stamp"
fi
rm -rf "$deps/auburnjunction"
for lib in libs/*/ platform/; do
    cp -r "${lib}auburnjunction" "$deps/"
done
compile "$deps/auburnjunction"

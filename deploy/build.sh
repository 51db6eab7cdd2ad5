#!/bin/sh
# Installs the pinned packages and the project's libraries into target/deps,
# compiled with -OO as at run time: docstrings would take 5 MB per process.
#
# target/deps is a link, replaced by one rename when a build is complete, so
# that a process which starts meanwhile finds the old build or the new one.
# If no source has changed, nothing is replaced.
set -eu
link=target/deps
builds=target/builds
new=target/new.$$
mkdir -p "$builds"
trap 'rm -rf "$new"' EXIT

compile() {
    # Copies of the tree may have different modification times, so compiled
    # files can't be validated by time.
    python3 -OO -m compileall -q --invalidation-mode unchecked-hash "$1"
}

hash_files() {
    find "$@" -type f ! -name '*.pyc' | LC_ALL=C sort | xargs sha256sum |
        sha256sum | cut -c 1-16
}

# Moves $new to a path, unless another build has done so meanwhile.
publish() {
    mv -T "$new" "$1" 2>/dev/null || { [ -d "$1" ] && rm -rf "$new"; }
}

requirements_hash=$(hash_files requirements.txt deploy/build.sh)
packages=target/packages-$requirements_hash
if [ ! -d "$packages" ]; then
    mkdir "$new"
    python3 -m pip install -q --no-compile --target "$new" -r requirements.txt
    compile "$new"
    publish "$packages"
fi

build=$builds/$(hash_files requirements.txt deploy/build.sh \
    libs/*/auburnjunction platform/auburnjunction)
if [ ! -d "$build" ]; then
    cp -r "$packages" "$new"
    for lib in libs/*/ platform/; do
        cp -r "${lib}auburnjunction" "$new/"
    done
    compile "$new/auburnjunction"
    publish "$build"
fi

previous=$(readlink "$link" || true)
current=${build#target/}
if [ "$previous" != "$current" ]; then
    # Older versions of this script installed into a directory.
    [ -L "$link" ] || rm -rf "$link"
    ln -s "$current" "$link.$$"
    mv -T "$link.$$" "$link"
    # Processes that run may still read the previous build.
    for old in "$builds"/*; do
        case ${old#target/} in
        "$current" | "$previous") ;;
        *) rm -rf "$old" ;;
        esac
    done
fi

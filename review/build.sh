#!/bin/sh
# The stand-ins in this folder are Python sources without dependencies; this
# only checks that they compile. The nodes come from the deploy file's build.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
from pathlib import Path

for path in sorted(Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
END

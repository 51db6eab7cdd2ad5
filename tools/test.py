"""Runs the tests except those listed in KNOWN-RED.txt.

Each entry of that file has a line "test: " followed by a pytest id. These
tests are printed and deselected.
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "


def read_known_red(path: Path) -> list[str]:
    """Return the pytest ids listed in the file."""
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    ]


def main() -> int:
    """Run pytest and return its exit code."""
    known_red = read_known_red(KNOWN_RED)
    for test in known_red:
        print(f"known red, deselected: {test}")
    deselected = [f"--deselect={test}" for test in known_red]
    command = [sys.executable, "-m", "pytest", *deselected, *sys.argv[1:]]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())

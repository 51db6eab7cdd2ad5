"""Runs seeds of the fault soak and prints the seeds that failed.

    .venv/bin/python tools/soak.py --first 100 --count 10

Logs of a failed seed stay in out/soak/SEED.
"""

import shutil
import sys
import time
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from auburnjunction.standins.processes import ProcessEndedError
from auburnjunction.standins.soaks import make_plan, run_soak

OUT = Path(__file__).resolve().parent.parent / "out" / "soak"


@cappa.command(name="soak")
@attrs.frozen
class SoakCommand:
    """Run a range of seeds of the fault soak."""

    first: Annotated[int, cappa.Arg(long=True, help="First seed")] = 1
    count: Annotated[int, cappa.Arg(long=True, help="Number of seeds")] = 5


def run_seed(seed: int) -> bool:
    """Run one seed, print its result and return whether it passed."""
    directory = OUT / str(seed)
    shutil.rmtree(directory, ignore_errors=True)
    names = sorted({event.name for event in make_plan(seed, 12.0, 6)})
    start_s = time.monotonic()
    try:
        run_soak(directory, seed)
    except (AssertionError, TimeoutError, ProcessEndedError) as exc:
        reason = " ".join(str(exc).split())[:400]
        print(f"seed {seed}: FAILED ({', '.join(names)}): {reason}")
        return False
    shutil.rmtree(directory, ignore_errors=True)
    print(
        f"seed {seed}: passed, {time.monotonic() - start_s:.0f} s", flush=True
    )
    return True


def main() -> int:
    """Run the seeds; return 1 when one failed."""
    command = cappa.parse(SoakCommand, completion=False)
    seeds = range(command.first, command.first + command.count)
    failed = [seed for seed in seeds if not run_seed(seed)]
    print(f"{len(seeds)} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

"""Run the soak of several seeds, one after the other.

For example: python -m tests.soak --seeds 100-149
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final

from tests.soak.run import run_soak

DEFAULT_SECONDS: Final = 30.0


def main() -> int:
    """Run the soaks; return 0 if none failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", required=True, help="first-last, or one")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument(
        "--logs", type=Path, help="existing folder that keeps all logs"
    )
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as temporary_folder:
            folder = Path(temporary_folder)
            if options.logs is not None:
                folder = options.logs / f"seed-{seed}"
                folder.mkdir()
            report = asyncio.run(run_soak(seed, options.seconds, folder))
        print(report.format(), flush=True)
        if report.failures:
            failed.append(seed)
    print(f"seeds failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

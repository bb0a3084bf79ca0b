"""Run the soak of several seeds, one after the other.

For example: python -m tests.soak --seeds 100-149
or: python -m tests.soak --site uploads --seeds 1-3
or: python -m tests.soak --site waymarks --rate 0.1 --seeds 1-3
or, with planned stops of nodes at their limit:
python -m tests.soak --site waymarks --rate 1 --processes 4 --seeds 1-3
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final

from tests.soak.run import run_soak
from tests.soak.shards import run_sharded_soak
from tests.soak.site import AUDITS, STORES
from tests.soak.uploads import UPLOADS
from tests.soak.waymarks import create_site

DEFAULT_SECONDS: Final = 30.0


def main() -> int:
    """Run the soaks; return 0 if none failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", required=True, help="first-last, or one")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument(
        "--logs", type=Path, help="existing folder that keeps all logs"
    )
    parser.add_argument(
        "--site",
        choices=("stores", "audits", "uploads", "waymarks"),
        default="stores",
    )
    parser.add_argument(
        "--rate", type=float, default=0.1, help="of waymarks, 1 is all of it"
    )
    parser.add_argument(
        "--processes",
        type=int,
        default=0,
        help="for callers and servers of waymarks; 0 is this one",
    )
    options = parser.parse_args()
    site = {"stores": STORES, "audits": AUDITS, "uploads": UPLOADS}.get(
        options.site
    ) or create_site(options.rate)
    first, _, last = options.seeds.partition("-")
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as temporary_folder:
            folder = Path(temporary_folder)
            if options.logs is not None:
                folder = options.logs / f"seed-{seed}"
                folder.mkdir()
            seconds, processes = options.seconds, options.processes
            soak = (
                run_sharded_soak(seed, seconds, folder, site, processes)
                if processes
                else run_soak(seed, seconds, folder, site)
            )
            report = asyncio.run(soak)
        print(report.format(), flush=True)
        if report.failures:
            failed.append(seed)
    print(f"seeds failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

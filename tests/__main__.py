"""Run the tests; only failures listed in KNOWN-RED.txt are tolerated.

Without arguments, all modules run in parallel, each in its own process.
This is safe because the tests use free ports and temporary directories.
Modules in ALONE_MODULES run after them, one at a time.
"""

import itertools
import re
import subprocess
import sys
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

KNOWN_RED: Final = Path(__file__).parent.parent / "KNOWN-RED.txt"
# Limits parallel modules, so that tests that start real processes don't
# starve each other of processor time.
PARALLEL_MODULES_MAX: Final = 3
# Their crowds of callers take several processors, and the memory that they
# check depends on how far a process is behind.
ALONE_MODULES: Final = ("tests.test_misbehaving_callers",)
KNOWN_RED_TEST: Final = re.compile(r"^test: (\S+)", re.MULTILINE)


def read_known_red() -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return frozenset()
    return frozenset(KNOWN_RED_TEST.findall(KNOWN_RED.read_text()))


def iterate_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield each test case of a suite, including nested suites."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def load_tests(names: list[str]) -> unittest.TestSuite:
    """Load the named tests, or all tests if no name is given."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover("tests", top_level_dir=".")


def collect_failed_ids(result: unittest.TestResult) -> frozenset[str]:
    """Return the ids of the tests that failed or raised an error."""
    # The id of a subtest starts with the id of its test case.
    return frozenset(
        case.id().split(" ")[0]
        for case, _ in (*result.failures, *result.errors)
    )


def list_modules() -> list[str]:
    """Return the test modules, those that start real processes first."""
    names = [path.stem for path in Path("tests").glob("test_*.py")]
    names.sort(key=lambda name: ("system" not in name, name))
    return [f"tests.{name}" for name in names]


def run_module(name: str) -> tuple[str, int, str]:
    """Run one module; return its name, exit code and output."""
    process = subprocess.run(
        (sys.executable, "-m", "tests", name),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    return name, process.returncode, process.stdout


def run_all_modules() -> int:
    """Run all modules; print their summaries and the output of failures."""
    parallel_modules = [
        name for name in list_modules() if name not in ALONE_MODULES
    ]
    failed_modules = []
    with ThreadPoolExecutor(PARALLEL_MODULES_MAX) as executor:
        results = itertools.chain(
            executor.map(run_module, parallel_modules),
            # Evaluated once the parallel ones have ended.
            map(run_module, ALONE_MODULES),
        )
        for name, exit_code, output in results:
            lines = output.strip().splitlines()
            print(output if exit_code else f"{name}: {lines[-1]}", flush=True)
            for line in lines if not exit_code else ():
                if line.startswith("known red"):
                    print(line)
            if exit_code:
                failed_modules.append(name)
    print(f"modules failed: {', '.join(failed_modules) or 'none'}")
    return 1 if failed_modules else 0


def main() -> int:
    """Run the tests; return 0 unless none ran or an unlisted one failed."""
    if not sys.argv[1:]:
        return run_all_modules()
    suite = load_tests(sys.argv[1:])
    loaded_ids = {case.id() for case in iterate_tests(suite)}
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = collect_failed_ids(result)
    known_red = read_known_red()
    for name in sorted(known_red & loaded_ids):
        state = "failed" if name in failed else "PASSED, remove the entry"
        print(f"known red: {name}: {state}")
    unexpected = failed - known_red
    passed = result.testsRun - len(failed)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())

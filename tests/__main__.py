"""Run the tests and let exactly the known failures pass."""

import re
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Final

KNOWN_RED: Final = Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY: Final = re.compile(r"^test: (\S+)", re.MULTILINE)


def read_known_red() -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return frozenset()
    return frozenset(ENTRY.findall(KNOWN_RED.read_text()))


def iterate_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield each test case of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def load_tests(names: list[str]) -> unittest.TestSuite:
    """Load the named tests, or all of them."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover("tests", top_level_dir=".")


def identify_failures(result: unittest.TestResult) -> frozenset[str]:
    """Return the ids of the tests that failed or broke."""
    # A subTest's id starts with that of its test case.
    return frozenset(
        case.id().split(" ")[0]
        for case, _ in (*result.failures, *result.errors)
    )


def main() -> int:
    """Run the tests; return 0 unless a test fails that is not listed."""
    suite = load_tests(sys.argv[1:])
    ids = {case.id() for case in iterate_tests(suite)}
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = identify_failures(result)
    known = read_known_red()
    for name in sorted(known & ids):
        state = "failed" if name in failed else "PASSED, remove the entry"
        print(f"known red: {name}: {state}")
    unexpected = failed - known
    passed = result.testsRun - len(failed)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())

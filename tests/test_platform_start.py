"""Tests of the platform's programs in surroundings that differ."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Final

from tests.platform_fleet import ROOT

EXIT_STATUS: Final = 7
# Takes the place of the package; the imports of a program run it first.
SIGNALLING_PACKAGE: Final = f"""
import os, signal, sys
os.kill(os.getpid(), signal.SIGHUP)
sys.exit({EXIT_STATUS})
"""


class ReloadDuringStartTest(unittest.TestCase):
    """Guards against processes that a reload ends while they start."""

    def test_a_reload_during_the_imports_is_ignored(self) -> None:
        for script in ("core.py", "sidecar.py"):
            with (
                self.subTest(script=script),
                tempfile.TemporaryDirectory() as folder,
            ):
                package = Path(folder) / "sequoiaseam"
                package.mkdir()
                (package / "__init__.py").write_text(SIGNALLING_PACKAGE)
                process = subprocess.run(
                    (sys.executable, str(ROOT / "platform" / script)),
                    env={**os.environ, "PYTHONPATH": folder},
                    check=False,
                    timeout=30,
                )
                self.assertEqual(EXIT_STATUS, process.returncode)


if __name__ == "__main__":
    unittest.main()

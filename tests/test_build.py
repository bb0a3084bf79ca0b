"""Tests of what the build compiles."""

import dataclasses
import re
import typing
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

from sequoiaseam._control_messages import create_control_codec
from sequoiaseam._frames import create_frame_codec
from sequoiaseam._mesh_frames import Frame
from sequoiaseam._replica_runner import COMMAND_CODEC

BUILD: Final = Path(__file__).parent.parent / "scripts" / "build"


def list_compiled() -> frozenset[str]:
    """Return the names of the modules that the build compiles."""
    match = re.search(r'MODULES="([^"]*)"', BUILD.read_text())
    assert match is not None
    return frozenset(f"sequoiaseam.{name}" for name in match[1].split())


def iterate_types(kind: Any, seen: set[Any]) -> Iterator[type[Any]]:
    """Yield a message's type and those that it is made of."""
    if kind in seen:
        return
    seen.add(kind)
    for part in typing.get_args(kind):
        yield from iterate_types(part, seen)
    if dataclasses.is_dataclass(kind) and isinstance(kind, type):
        yield kind
        for part in typing.get_type_hints(kind).values():
            yield from iterate_types(part, seen)


class CompiledModulesTest(unittest.TestCase):
    """Guards against messages that compiled hosts can't decode.

    Compiled classes keep no types of their fields, so a codec would take
    their parts for plain maps.
    """

    def test_no_message_is_of_a_compiled_module(self) -> None:
        compiled = list_compiled()
        self.assertIn("sequoiaseam._quota", compiled)
        seen: set[Any] = set()
        for codec in (
            create_control_codec(),
            create_frame_codec(),
            COMMAND_CODEC,
        ):
            for message in codec.types:
                for kind in iterate_types(message, seen):
                    self.assertNotIn(kind.__module__, compiled, kind)
        for frame in typing.get_args(Frame):
            self.assertNotIn(frame.__module__, compiled, frame)

    def test_compiled_modules_exist(self) -> None:
        sources = BUILD.parent.parent / "src"
        for name in list_compiled():
            path = sources / (name.replace(".", "/") + ".py")
            self.assertTrue(path.exists(), name)


if __name__ == "__main__":
    unittest.main()

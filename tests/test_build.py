"""Tests of the list of modules that the build compiles."""

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

BUILD_SCRIPT: Final = Path(__file__).parent.parent / "scripts" / "build"


def list_compiled_modules() -> frozenset[str]:
    """Return the names of the modules that the build compiles."""
    match = re.search(r'MODULES="([^"]*)"', BUILD_SCRIPT.read_text())
    assert match is not None
    return frozenset(f"sequoiaseam.{name}" for name in match[1].split())


def iterate_message_types(
    annotation: Any, visited: set[Any]
) -> Iterator[type[Any]]:
    """Yield the dataclasses that a type annotation consists of."""
    if annotation in visited:
        return
    visited.add(annotation)
    for component in typing.get_args(annotation):
        yield from iterate_message_types(component, visited)
    if dataclasses.is_dataclass(annotation) and isinstance(annotation, type):
        yield annotation
        for component in typing.get_type_hints(annotation).values():
            yield from iterate_message_types(component, visited)


class CompiledModulesTest(unittest.TestCase):
    """Guards against messages that hosts with compiled modules can't decode.

    Compiled classes don't keep the types of their fields, so a codec would
    decode nested messages as plain maps.
    """

    def test_message_types_are_not_in_compiled_modules(self) -> None:
        compiled_modules = list_compiled_modules()
        self.assertIn("sequoiaseam._quota", compiled_modules)
        visited: set[Any] = set()
        for codec in (
            create_control_codec(),
            create_frame_codec(),
            COMMAND_CODEC,
        ):
            for message in codec.types:
                for message_type in iterate_message_types(message, visited):
                    self.assertNotIn(
                        message_type.__module__, compiled_modules, message_type
                    )
        for frame in typing.get_args(Frame):
            self.assertNotIn(frame.__module__, compiled_modules, frame)

    def test_compiled_modules_exist(self) -> None:
        source_directory = BUILD_SCRIPT.parent.parent / "src"
        for name in list_compiled_modules():
            path = source_directory / (name.replace(".", "/") + ".py")
            self.assertTrue(path.exists(), name)


if __name__ == "__main__":
    unittest.main()

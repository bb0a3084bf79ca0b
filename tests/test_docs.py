"""Tests of the documentation."""

import os
import re
import shlex
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Final
from unittest import mock

from sequoiaseam import core
from sequoiaseam._cli import build_app
from sequoiaseam._cli_environment import Environment
from sequoiaseam._cli_views import check_file
from sequoiaseam._operator_edits import ExitCode
from sequoiaseam._settings import CONTROL_KEYS, NODE_KEYS, SECRET_KEYS
from sequoiaseam._tablefile import COLUMNS
from sequoiaseam.errors import DEFAULT_HTTP_STATUS, HTTP_STATUS, ErrorCode

ROOT: Final = Path(__file__).parent.parent
DOC_PAGES: Final = sorted((*ROOT.glob("docs/*.md"), *ROOT.glob("*.md")))
LINK_PATTERN: Final = re.compile(r"\]\(([^)#\s]*)(?:#([^)\s]+))?\)")
CODE_BLOCK_PATTERN: Final = re.compile(
    r"^```(\w+)\n(.*?)^```", re.MULTILINE | re.DOTALL
)
HEADING_PATTERN: Final = re.compile(r"^#+ (.+)$", re.MULTILINE)
COMMANDS: Final = (
    *("apply", "show", "follow", "check", "key add", "key withdraw"),
    *("key list", "report", "histogram", "status", "drain"),
    *("control replace", "control status", "control backup"),
    *("control restore", "completion", "evacuate start", "evacuate end"),
)
COMMAND_ENVIRONMENT: Final = {
    "SEQUOIASEAM_CONTROL": "127.0.0.1:1",
    "SEQUOIASEAM_SECRETS": "secrets.ini",
    "SEQUOIASEAM_OPERATOR": "ana",
}


def read_page(name: str) -> str:
    """Return the text of a page in the docs directory."""
    return (ROOT / "docs" / name).read_text()


def list_anchors(text: str) -> set[str]:
    """Return the anchors that GitHub generates for a page's headings."""
    return {
        re.sub(r"[^\w\- ]", "", title.lower()).replace(" ", "-")
        for title in HEADING_PATTERN.findall(text)
    }


def iterate_code_blocks(language: str) -> Iterator[tuple[str, str]]:
    """Yield (page name, text) of each code block in a language."""
    for page in DOC_PAGES:
        for block_language, text in CODE_BLOCK_PATTERN.findall(
            page.read_text()
        ):
            if block_language == language:
                yield page.name, text


def iterate_commands() -> Iterator[tuple[str, list[str]]]:
    """Yield (page name, tokens) of each command in a shell code block."""
    for name, text in iterate_code_blocks("sh"):
        for line in text.replace("\\\n", " ").splitlines():
            if line.startswith("sequoiaseam "):
                yield name, shlex.split(line)[1:]


class DocsTest(unittest.TestCase):
    """Guards against documentation that contradicts the code."""

    def test_each_setting_is_documented(self) -> None:
        text = read_page("settings.md")
        for keys in (NODE_KEYS, CONTROL_KEYS, SECRET_KEYS):
            for section, names in keys.items():
                for name in names:
                    with self.subTest(section=section, key=name):
                        self.assertIn(f"| `[{section}]` | `{name}` |", text)

    def test_each_column_is_documented(self) -> None:
        text = read_page("tables.md")
        for table, columns in COLUMNS.items():
            for column in columns.values():
                with self.subTest(table=table, column=column.title):
                    self.assertIn(f"\n| `{column.title}` |", text)

    def test_each_error_code_is_documented(self) -> None:
        text = read_page("refusals.md")
        for code in ErrorCode:
            with self.subTest(code=code):
                self.assertIn(f"\n| `{code.value}` |", text)

    def test_http_status_of_each_code_is_documented(self) -> None:
        # Callers never receive the error codes of edits and control hosts.
        text, _, _ = read_page("refusals.md").partition("## Codes of settings")
        expected = {
            code.value: HTTP_STATUS.get(code, DEFAULT_HTTP_STATUS)
            for code in ErrorCode
            if f"\n| `{code.value}` |" in text
        }
        rows = re.findall(r"\n\| `(\w+)` \| (\d+) \|", read_page("callers.md"))
        self.assertEqual({code: int(n) for code, n in rows}, expected)

    def test_links_resolve(self) -> None:
        for page in DOC_PAGES:
            for target, anchor in LINK_PATTERN.findall(page.read_text()):
                if target.startswith(("http:", "https:")):
                    continue
                with self.subTest(page=page.name, target=target):
                    path = page.parent / target if target else page
                    self.assertTrue(path.exists())
                    if anchor:
                        self.assertIn(anchor, list_anchors(path.read_text()))

    def test_commands_parse(self) -> None:
        app = build_app(Environment())
        with mock.patch.dict(os.environ, COMMAND_ENVIRONMENT):
            for name, tokens in iterate_commands():
                with self.subTest(page=name, tokens=tokens):
                    app.parse_args(
                        tokens,
                        exit_on_error=False,
                        print_error=False,
                    )

    def test_each_command_is_documented(self) -> None:
        text = "\n".join(page.read_text() for page in DOC_PAGES)
        for command in COMMANDS:
            with self.subTest(command=command):
                self.assertIn(f"sequoiaseam {command}", text)

    def test_example_files_are_valid(self) -> None:
        secrets = "".join(
            f"[{section}]\ncurrent = {'ab' * 32}\n" for section in SECRET_KEYS
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "secrets.ini"
            path.write_text(secrets)
            path.chmod(0o600)
            file_kinds = set()
            for name, text in iterate_code_blocks("ini"):
                with self.subTest(page=name):
                    example = Path(folder) / "example.ini"
                    example.write_text(text)
                    file_kinds.add(check_file(example))
        self.assertEqual(len(file_kinds), 3)

    def test_each_public_name_is_documented(self) -> None:
        text = read_page("design.md").partition("## 14.")[2]
        for name in core.__all__:
            with self.subTest(name=name):
                self.assertTrue(re.search(rf"\b{name}\b", text))

    def test_exit_codes_are_documented(self) -> None:
        text = read_page("operators.md")
        for code in ExitCode:
            with self.subTest(code=code):
                self.assertIn(f"\n| {code.value} |", text)

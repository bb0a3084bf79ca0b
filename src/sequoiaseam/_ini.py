"""Read INI files and report all their problems by file and line."""

import configparser
import re
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, TypeVar

from sequoiaseam.errors import ErrorCode, SeamError

T = TypeVar("T")
SECTION_PATTERN: Final = re.compile(r"\[(?P<name>.+)\]\s*")
OPTION_PATTERN: Final = re.compile(r"(?P<name>[^\s#;=\[][^=]*?)\s*=")


@dataclass(frozen=True, slots=True)
class FileProblem:
    """A problem in a file; ``line`` is 0 if unknown."""

    file: str
    line: int
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        section = f" [{self.section}]" if self.section else ""
        key = f" {self.key}" if self.key else ""
        return f"{location}:{section}{key}: {self.message}"


class FileError(SeamError):
    """Raised for an invalid file, with all problems found in it."""

    def __init__(
        self,
        code: ErrorCode,
        problems: Iterable[FileProblem],
    ) -> None:
        self.problems = tuple(problems)
        first = self.problems[0]
        super().__init__(
            code,
            "\n".join(map(str, self.problems)),
            location=f"{first.file} [{first.section}] {first.key}",
        )


@dataclass(slots=True)
class IniFile:
    """Contents of an INI file and the problems found in it.

    ``sections`` holds the values by section and key; ``take`` removes
    them. ``lines`` holds the line of each (section, key), and of each
    section under the key "".
    """

    file: str
    sections: dict[str, dict[str, str]] = field(default_factory=dict)
    lines: dict[tuple[str, str], int] = field(default_factory=dict)
    problems: list[FileProblem] = field(default_factory=list)

    def report(self, section: str, key: str, message: str) -> None:
        """Add a problem at the line of the key, or else of the section."""
        line = self.lines.get((section, key)) or self.lines.get(
            (section, ""),
            0,
        )
        self.problems.append(
            FileProblem(self.file, line, section, key, message),
        )

    def take(
        self,
        section: str,
        key: str,
        parse: Callable[[str], T],
        default: T | None = None,
    ) -> T | None:
        """Remove and parse a value.

        Return the default if the value is absent or invalid. Report a
        problem if it is invalid, or absent without a default.
        """
        text = self.sections.get(section, {}).pop(key, None)
        if text is None:
            if default is None:
                self.report(section, key, "is required")
            return default
        try:
            return parse(text.strip())
        except ValueError as error:
            self.report(section, key, str(error))
            return default

    def take_optional(
        self,
        section: str,
        key: str,
        parse: Callable[[str], T],
    ) -> T | None:
        """Remove and parse a value; return None if the key is absent."""
        if key not in self.sections.get(section, {}):
            return None
        return self.take(section, key, parse)

    def report_unknown(self, known_sections: Iterable[str]) -> None:
        """Report unknown sections, and the keys that weren't taken."""
        names = tuple(known_sections)
        for section, values in self.sections.items():
            if section not in names:
                self.report(section, "", "is not a known section")
                continue
            for key in values:
                self.report(section, key, "is not a known key")

    def raise_problems(self, code: ErrorCode) -> None:
        """Raise FileError with all problems, sorted by line, if any."""
        if self.problems:
            raise FileError(code, sorted(self.problems, key=_get_line))


def _get_line(problem: FileProblem) -> int:
    return problem.line


def _index_lines(ini: IniFile, text: str) -> None:
    """Record the line of each section and key; report duplicates."""
    section = ""
    # Splits lines as configparser does; str.splitlines also splits at other
    # characters.
    for line_number, line in enumerate(text.split("\n"), start=1):
        if match := SECTION_PATTERN.match(line):
            section = match["name"]
            _record_line(ini, section, "", line_number)
        elif match := OPTION_PATTERN.match(line):
            _record_line(ini, section, match["name"], line_number)


def _record_line(
    ini: IniFile, section: str, key: str, line_number: int
) -> None:
    first_line = ini.lines.setdefault((section, key), line_number)
    if first_line != line_number:
        ini.problems.append(
            FileProblem(
                ini.file,
                line_number,
                section,
                key,
                f"is given twice, first in line {first_line}",
            ),
        )


def _create_parser() -> configparser.RawConfigParser:
    # Not strict: a strict parser stops at the first duplicate, whereas
    # _index_lines reports all of them.
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        default_section="",
        strict=False,
        empty_lines_in_values=False,
    )
    # Keys are case-sensitive; by default the parser converts them to
    # lowercase.
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def parse_ini(file: str, text: str) -> IniFile:
    """Parse INI text; syntax errors are reported in the result."""
    ini = IniFile(file)
    _index_lines(ini, text)
    parser = _create_parser()
    try:
        parser.read_string(text, source=file)
    except configparser.MissingSectionHeaderError as error:
        ini.problems.append(
            FileProblem(file, error.lineno, "", "", "is before any section"),
        )
    except configparser.ParsingError as error:
        ini.problems.extend(
            FileProblem(file, line, "", "", "is neither a section nor a key")
            for line, _ in error.errors
        )
    for name in parser.sections():
        ini.sections[name] = dict(parser.items(name))
    return ini


def read_ini(path: Path, code: ErrorCode) -> IniFile:
    """Read and parse a file; raise FileError if it can't be read.

    Syntax errors are reported in the result, as by ``parse_ini``.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        # ValueError is raised for text that isn't UTF-8 and for an invalid
        # path, such as one with a null character.
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        problem = FileProblem(str(path), 0, "", "", f"can't be read: {reason}")
        raise FileError(code, (problem,)) from error
    return parse_ini(str(path), text)


def find_duplicates(values: Iterable[str]) -> tuple[str, ...]:
    """Return the values that occur more than once, sorted."""
    counts: defaultdict[str, int] = defaultdict(int)
    for value in values:
        counts[value] += 1
    return tuple(sorted(v for v, count in counts.items() if count > 1))

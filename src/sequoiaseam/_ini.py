"""INI files read whole, with every problem at its file and line."""

import configparser
import re
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, TypeVar

from sequoiaseam.errors import ErrorCode, SeamError

T = TypeVar("T")
SECTION: Final = re.compile(r"\[(?P<name>.+)\]\s*")
OPTION: Final = re.compile(r"(?P<name>[^\s#;=\[][^=]*?)\s*=")


@dataclass(frozen=True, slots=True)
class FileProblem:
    """One thing wrong with a file; ``line`` is 0 if unknown."""

    file: str
    line: int
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}" if self.line else self.file
        section = f" [{self.section}]" if self.section else ""
        key = f" {self.key}" if self.key else ""
        return f"{where}:{section}{key}: {self.message}"


class FileError(SeamError):
    """A file that is refused, with everything that is wrong with it."""

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
    """Sections and keys of a file, with lines, and problems found."""

    file: str
    sections: dict[str, dict[str, str]] = field(default_factory=dict)
    lines: dict[tuple[str, str], int] = field(default_factory=dict)
    problems: list[FileProblem] = field(default_factory=list)

    def report(self, section: str, key: str, message: str) -> None:
        """Note a problem at the line of a key or, without, a section."""
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
        """Remove and parse a value; note a problem if it is bad."""
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
        """Return the parsed value, or None if the key is absent."""
        if key not in self.sections.get(section, {}):
            return None
        return self.take(section, key, parse)

    def check_unknown(self, known: Iterable[str]) -> None:
        """Note unknown sections, and keys that nothing has taken."""
        names = tuple(known)
        for section, values in self.sections.items():
            if section not in names:
                self.report(section, "", "is not a known section")
                continue
            for key in values:
                self.report(section, key, "is not a known key")

    def raise_problems(self, code: ErrorCode) -> None:
        """Raise FileError with all problems, in file order, if any."""
        if self.problems:
            raise FileError(code, sorted(self.problems, key=_get_line))


def _get_line(problem: FileProblem) -> int:
    return problem.line


def _scan(ini: IniFile, text: str) -> None:
    """Find the line of each section and key, and the duplicates."""
    section = ""
    # As configparser does; splitlines would also split at other characters.
    for number, line in enumerate(text.split("\n"), start=1):
        if match := SECTION.match(line):
            section = match["name"]
            _note_line(ini, section, "", number)
        elif match := OPTION.match(line):
            _note_line(ini, section, match["name"], number)


def _note_line(ini: IniFile, section: str, key: str, number: int) -> None:
    first = ini.lines.setdefault((section, key), number)
    if first != number:
        ini.problems.append(
            FileProblem(
                ini.file,
                number,
                section,
                key,
                f"is given twice, first in line {first}",
            ),
        )


def _make_parser() -> configparser.RawConfigParser:
    # Duplicates are found by _scan, which reports all of them at once.
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        default_section="",
        strict=False,
        empty_lines_in_values=False,
    )
    # Names are case-sensitive; the parser would lower them otherwise.
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def parse_ini(file: str, text: str) -> IniFile:
    """Parse text; problems are noted in the result, not raised."""
    ini = IniFile(file)
    _scan(ini, text)
    parser = _make_parser()
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
    """Read and parse a file; raise FileError if it can't be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        # ValueError: not UTF-8, or a path that no file can have.
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        problem = FileProblem(str(path), 0, "", "", f"can't be read: {reason}")
        raise FileError(code, (problem,)) from error
    return parse_ini(str(path), text)


def find_repeated(values: Iterable[str]) -> tuple[str, ...]:
    """Return the values that occur more than once, sorted."""
    counts: defaultdict[str, int] = defaultdict(int)
    for value in values:
        counts[value] += 1
    return tuple(sorted(v for v, count in counts.items() if count > 1))

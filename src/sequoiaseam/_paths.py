"""Checks of request paths before a route is chosen by prefix."""

from urllib.parse import unquote

from sequoiaseam.errors import ErrorCode, RefusalError


def check_path(path: str) -> None:
    """Raise BAD_REQUEST for a path that a server may read otherwise.

    Routes are chosen by prefix, so a path that climbs out of its prefix
    would reach another route's work under this route's rules.
    """
    for segment in path.split("/"):
        plain = unquote(segment)
        ambiguous = (
            plain in (".", "..")
            or "/" in plain
            or "\\" in plain
            or not plain.isprintable()
        )
        if ambiguous:
            raise RefusalError(
                ErrorCode.BAD_REQUEST,
                "the path has dot segments or encoded separators",
            )

"""Validation of request paths before routes are matched by prefix."""

from urllib.parse import unquote

from sequoiaseam.errors import ErrorCode, RefusalError


def check_path(path: str) -> None:
    """Raise RefusalError BAD_REQUEST if a path is ambiguous.

    Routes are matched by prefix. A backend server may resolve dot
    segments or encoded separators, and the path would then reach a
    resource of another route under this route's rules.
    """
    for segment in path.split("/"):
        decoded = unquote(segment)
        ambiguous = (
            decoded in (".", "..")
            or "/" in decoded
            or "\\" in decoded
            or not decoded.isprintable()
        )
        if ambiguous:
            raise RefusalError(
                ErrorCode.BAD_REQUEST,
                "the path has dot segments or encoded separators",
            )

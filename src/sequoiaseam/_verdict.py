"""Verdict: whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """Say whether a request may have run.

    ``NOT_RUN`` is a promise: no attempt of the request has run or will
    run. ``MAY_HAVE_RUN`` is used whenever that can't be proved.
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"

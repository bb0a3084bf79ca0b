"""Verdict on whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """Whether a request may have run.

    ``NOT_RUN`` guarantees that no attempt of the request has run or
    will run. ``MAY_HAVE_RUN`` is used if this can't be proved.
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"

"""Checks for input that the event loop hasn't read yet.

While an event loop is late, data and connections wait in the kernel. A
decision to close must not look only at what the process has read.
"""

import select
from collections.abc import Iterable


def find_readable(descriptors: Iterable[int]) -> frozenset[int]:
    """Return those of the file descriptors that have unread input.

    An end of the stream counts as input, and so does a new connection.
    """
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLIN)
    return frozenset(descriptor for descriptor, _ in poll.poll(0))

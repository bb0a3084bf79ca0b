"""Checks for input that the event loop hasn't read yet.

While an event loop is late, data and connections wait in the kernel. A
decision to close must not look only at what the process has read.
"""

import select
import socket
from collections.abc import Iterable
from typing import Any

from sequoiaseam._logs import Level, describe_error, log_event


def find_readable(descriptors: Iterable[int]) -> frozenset[int]:
    """Return those of the file descriptors that have unread input.

    An end of the stream counts as input, and so does a new connection.
    """
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLIN)
    return frozenset(descriptor for descriptor, _ in poll.poll(0))


class InputPoll:
    """Repeated check of one open connection, without further allocations.

    The check is for unread input, or only for the end of the stream, which
    the event loop may not have read yet. Data may come before the end.
    """

    def __init__(self, transport: Any, *, end_only: bool = False) -> None:
        self._poll = select.poll()
        self._poll.register(
            transport.get_extra_info("socket").fileno(),
            select.POLLRDHUP if end_only else select.POLLIN,
        )

    def check(self) -> bool:
        """Return whether there is such input."""
        return bool(self._poll.poll(0))


def has_unread_input(transport: Any) -> bool:
    """Return whether a transport's socket has unread input."""
    return InputPoll(transport).check()


def end_connection(transport: Any) -> None:
    """End both directions of an open connection at once.

    An event loop closes the socket of a closed transport one pass later. It
    would reset what arrives until then, which may be long if it is late.
    """
    connection = socket.socket(
        fileno=transport.get_extra_info("socket").fileno()
    )
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        # The other side has reset the connection.
        log_event(
            Level.DEBUG,
            "connection ended by the other side",
            **describe_error(error),
        )
    finally:
        connection.detach()


def has_ended(transport: Any) -> bool:
    """Return whether the other side of a connection has closed it."""
    return InputPoll(transport, end_only=True).check()

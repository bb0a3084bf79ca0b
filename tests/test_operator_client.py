"""Tests of the operators' client, over loopback."""

import unittest
from typing import Final

from bench.processes import find_free_ports

from sequoiaseam._access import Credentials, Identity, Verifier
from sequoiaseam._clock import ProcessClock
from sequoiaseam._control_messages import (
    CALL_PATH,
    Failure,
    create_control_codec,
)
from sequoiaseam._operator_client import RpcOperatorClient
from sequoiaseam._operator_messages import DrainRequest
from sequoiaseam._rpc import RpcServer, Stream
from sequoiaseam._settings import Endpoint
from sequoiaseam.errors import ErrorCode, SeamError

HOST: Final = "127.0.0.1"
CREDENTIALS: Final = Credentials((b"x" * 32,), (b"y" * 32,))


async def end_without_answer(stream: Stream, _: Identity) -> None:
    """Read a call and close its connection, as a host that is killed."""
    await stream.recv_message()


async def answer_not_found(stream: Stream, _: Identity) -> None:
    """Answer that the node isn't attached here."""
    await stream.recv_message()
    await stream.send_message(Failure(ErrorCode.NOT_FOUND.value, "", ""))


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """Guards against orders reported as failed that may have been executed."""

    async def test_a_lost_answer_is_an_unknown_outcome(self) -> None:
        """Lose the answer of the host that the node is attached to."""
        clock = ProcessClock()
        endpoints = [Endpoint(HOST, port) for port in find_free_ports(2)]
        for endpoint, handler in zip(
            endpoints, (end_without_answer, answer_not_found), strict=True
        ):
            server = RpcServer(
                Verifier(CREDENTIALS),
                clock,
                create_control_codec(),
                {CALL_PATH: handler},
            )
            await server.start(endpoint.host, endpoint.port)
            self.addAsyncCleanup(server.close)
        client = RpcOperatorClient(endpoints, CREDENTIALS, clock, "operator")
        with self.assertRaises(SeamError) as raised:
            await client.drain(DrainRequest("edit-1", "operator", "node-1"))
        self.assertIs(raised.exception.code, ErrorCode.OUTCOME_UNKNOWN)


if __name__ == "__main__":
    unittest.main()

"""Tests of planned stops of control hosts, in this process."""

import asyncio
import os
import tempfile
import time
import unittest
import unittest.mock
from pathlib import Path
from random import Random
from typing import Any, Final

from bench.processes import find_free_ports

from sequoiaseam._access import Role, TrustedNetwork
from sequoiaseam._clock import ProcessClock
from sequoiaseam._control import Control
from sequoiaseam._control_messages import CALL_PATH, create_control_codec
from sequoiaseam._operator_messages import (
    ApplyRequest,
    EditAnswer,
    EditOutcome,
    ShowAnswer,
    ShowRequest,
)
from sequoiaseam._rpc import Channel, StreamEndedError
from sequoiaseam._settings import ControlSettings, Endpoint
from sequoiaseam._tables import Tables
from sequoiaseam.errors import SeamError

HOST: Final = "127.0.0.1"
WAIT_LIMIT_SECONDS: Final = 20.0
# Long enough for a stop to begin while an edit is written.
SYNC_SECONDS: Final = 0.5
DELIVERY_SECONDS: Final = 0.1


class OperatorCallTest(unittest.IsolatedAsyncioTestCase):
    """Guards against operators' calls that are cut by a planned stop."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        (self.port,) = find_free_ports(1)
        endpoint = Endpoint(HOST, self.port)
        self.control = Control(
            ControlSettings(
                name="control-1",
                domain="north",
                region="south",
                data=Path(folder.name),
                listen=endpoint,
                replicas={"control-1": endpoint},
                secrets=None,
            ),
            ProcessClock(),
            Random(1),
        )
        await self.control.start()
        await self.wait_until_leading()

    async def wait_until_leading(self) -> None:
        """Wait until the control host answers calls."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not isinstance(  # noqa: ASYNC110
                await self.call(ShowRequest()), ShowAnswer
            ):
                await asyncio.sleep(DELIVERY_SECONDS)

    async def call(self, request: object) -> Any:
        """Return the answer to an operator's call."""
        return await Channel(HOST, self.port, create_control_codec()).call(
            CALL_PATH,
            request,
            proof=TrustedNetwork("operator", Role.OPERATOR).create_proof(),
            timeout_seconds=WAIT_LIMIT_SECONDS,
        )

    async def stop(self) -> None:
        """Drain and close the control host, as its program does."""
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            await self.control.drain()
            await self.control.close()

    async def test_an_edit_in_progress_is_answered(self) -> None:
        real_fsync = os.fsync

        def sync_slowly(descriptor: int) -> None:
            time.sleep(SYNC_SECONDS)
            real_fsync(descriptor)

        with unittest.mock.patch.object(os, "fsync", sync_slowly):
            edit = asyncio.create_task(
                self.call(ApplyRequest("edit-1", "operator", 0, Tables()))
            )
            await asyncio.sleep(DELIVERY_SECONDS)
            await self.stop()
        try:
            answer = await edit
        except StreamEndedError:
            self.fail("the connection was closed without an answer")
        self.assertIsInstance(answer, EditAnswer)
        self.assertIs(answer.outcome, EditOutcome.ACCEPTED)

    async def test_calls_after_the_last_check_are_not_executed(self) -> None:
        """Send edits until the stop is over; none is applied unanswered."""
        answers: dict[str, Any] = {}
        stopped = False

        async def send_edits() -> None:
            while not stopped:
                edit_id = f"edit-{len(answers)}"
                try:
                    answer = await self.call(
                        ApplyRequest(edit_id, "operator", 0, Tables())
                    )
                except SeamError as error:
                    answer = error.code
                except StreamEndedError:
                    answer = None
                except OSError:
                    # The connection wasn't made.
                    break
                answers[edit_id] = answer

        sender = asyncio.create_task(send_edits())
        await asyncio.sleep(DELIVERY_SECONDS)
        await self.stop()
        stopped = True
        await sender
        unanswered = [
            edit_id for edit_id, answer in answers.items() if answer is None
        ]
        for edit_id in unanswered:
            self.assertIsNone(self.control._state.find_result(edit_id))


if __name__ == "__main__":
    unittest.main()

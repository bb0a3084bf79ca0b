"""Tests of replacing and restoring control hosts as processes."""

import shutil
import unittest
import uuid

from bench.processes import Fleet, stop_process

from sequoiaseam._operator_messages import (
    ApplyRequest,
    BackupRequest,
    EditOutcome,
    OperatorClient,
    ReplaceRequest,
    RestoreRequest,
    ShowRequest,
    StatusRequest,
)
from sequoiaseam.errors import SeamError
from tests.builders import build_tables
from tests.system import WAIT_TIMEOUT, wait_for

WIPED_HOST = "control-2"


async def try_replace_wiped_host(client: OperatorClient) -> bool:
    """Request the replacement; return False while it is refused."""
    request = ReplaceRequest(
        uuid.uuid4().hex, "test", WIPED_HOST, WIPED_HOST, ""
    )
    try:
        answer = await client.replace(request)
    except SeamError:
        return False
    return answer.outcome is EditOutcome.ACCEPTED


async def has_three_voters(client: OperatorClient) -> bool:
    """Return whether there are a leader and two more voters."""
    status = await client.status(StatusRequest())
    roles = sorted(replica.role for replica in status.replicas)
    return roles == ["leader", "voter", "voter"]


class ControlHostsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against control hosts that can't be recovered.

    One host loses its disk and is replaced; then a new group is restored
    from a backup.
    """

    async def test_wiped_host_is_replaced_and_backup_restored(self) -> None:
        async with Fleet(()) as fleet:
            client = fleet.connect()
            answer = await client.apply(
                ApplyRequest(uuid.uuid4().hex, "test", 0, build_tables()),
            )
            self.assertIs(answer.outcome, EditOutcome.ACCEPTED)
            backup = await client.backup(BackupRequest())
            await stop_process(fleet.control_processes[WIPED_HOST])
            shutil.rmtree(fleet.folder / f"{WIPED_HOST}-data")
            await fleet.start_control(WIPED_HOST)
            await wait_for(
                lambda: try_replace_wiped_host(client),
                WAIT_TIMEOUT,
                "the wiped host is replaced",
            )
            await wait_for(
                lambda: has_three_voters(client),
                WAIT_TIMEOUT,
                "the wiped host is a voter",
            )
            await client.close()
        async with Fleet(()) as fleet:
            client = fleet.connect()
            outcomes = [
                (
                    await client.restore(
                        RestoreRequest(uuid.uuid4().hex, "test", backup.data),
                    )
                ).outcome
                for _ in range(2)
            ]
            self.assertEqual(
                outcomes,
                [EditOutcome.ACCEPTED, EditOutcome.CONFLICT],
            )
            shown = await client.show(ShowRequest())
            self.assertEqual(shown.tables, build_tables())
            self.assertEqual(shown.revision, backup.revision)
            await client.close()

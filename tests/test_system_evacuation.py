"""Tests of the evacuation of a failure domain with processes and client."""

import asyncio
import time
import unittest
import uuid
from typing import Final

from bench.processes import NodePlan

from sequoiaseam._operator_messages import (
    EditOutcome,
    EvacuateRequest,
    ShowRequest,
)
from tests.system import FleetTestCase, create_request_id, run_on_fleet

# Seconds from the acknowledgement until an order is in force on all nodes.
EVACUATION_TIME_LIMIT: Final = 5.0
EVACUATED: Final = "store-1"


class EvacuationTest(FleetTestCase):
    """Guards against nodes and an operator's client that miss an order."""

    nodes = (
        NodePlan("front-1", "domain-1", "front", nested="/records/1"),
        NodePlan(EVACUATED, "domain-3", "store"),
        NodePlan("store-2", "domain-4", "store"),
    )

    async def order(self, *, evacuated: bool) -> None:
        """Give an order twice, as a client does whose answer was lost."""
        request = EvacuateRequest(
            uuid.uuid4().hex, "test", "domain-3", evacuated
        )
        answers = [await self.client.evacuate(request) for _ in range(2)]
        self.assertIs(answers[0].outcome, EditOutcome.ACCEPTED)
        self.assertEqual(answers[0], answers[1])

    @run_on_fleet
    async def test_no_server_of_the_domain_is_used(self) -> None:
        revision = (await self.client.show(ShowRequest())).revision
        await self.wait_until_server_used(EVACUATED)
        running = [
            asyncio.create_task(
                self.send(node, f"/records/{create_request_id()}", act=act)
            )
            for node in self.fleet.running
            for act in ("delay=1000",) * 10
        ]
        await asyncio.sleep(0.3)
        await self.order(evacuated=True)
        ordered_at = last_use = time.monotonic()
        shown = await self.client.show(ShowRequest())
        self.assertEqual(shown.evacuated_domains, ("domain-3",))
        self.assertEqual(shown.revision, revision)
        while time.monotonic() < ordered_at + EVACUATION_TIME_LIMIT + 0.5:
            sent_at = time.monotonic()
            replies = await asyncio.gather(
                *(
                    self.send(
                        node, f"/records/{create_request_id()}", act="delay=20"
                    )
                    for node in self.fleet.running
                ),
            )
            for reply in replies:
                self.assertTrue(reply.complete, reply)
                if reply.body["server"] == EVACUATED:
                    last_use = max(last_use, sent_at)
        self.assertLess(last_use - ordered_at, EVACUATION_TIME_LIMIT)
        # Runs in progress have ended, those of the evacuated server too.
        finished = await asyncio.gather(*running)
        self.assertTrue(all(reply.complete for reply in finished), finished)
        servers = {reply.body["server"] for reply in finished}
        self.assertIn(EVACUATED, servers)
        await self.order(evacuated=False)
        await self.wait_until_server_used(EVACUATED)
        self.assertEqual(
            (await self.client.show(ShowRequest())).evacuated_domains, ()
        )


if __name__ == "__main__":
    unittest.main()

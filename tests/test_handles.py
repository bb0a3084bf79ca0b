"""Tests of the handles that link nested calls to requests."""

import unittest
from typing import cast

from sequoiaseam._clock import EPOCH
from sequoiaseam._handles import Budget, CallContext, HandleTable
from sequoiaseam._tables import Importance


def build_context(root_id: str = "r1") -> CallContext:
    """Return the context of a root request."""
    return CallContext(
        root_id=root_id,
        workspace="coop",
        route="quotes",
        importance=Importance.HIGH,
        weight=1.0,
        deadline=EPOCH,
        budget=cast("Budget", None),
    )


class HandleTableTest(unittest.TestCase):
    """Guards against handles that outlive or confuse their requests."""

    def test_finds_only_live_handles(self) -> None:
        table = HandleTable(iter(("h1", "h2")).__next__)
        first_context, second_context = (
            build_context("r1"),
            build_context("r2"),
        )
        first_handle, second_handle = (
            table.issue(first_context),
            table.issue(second_context),
        )
        self.assertIs(table.find(first_handle), first_context)
        self.assertIs(table.find(second_handle), second_context)
        table.revoke(first_handle)
        table.revoke(first_handle)
        self.assertIsNone(table.find(first_handle))
        self.assertIsNone(table.find(""))
        self.assertEqual(len(table), 1)

    def test_refuses_a_repeating_source(self) -> None:
        table = HandleTable(lambda: "same")
        table.issue(build_context())
        with self.assertRaises(ValueError):
            table.issue(build_context())

    def test_keeps_the_highest_pressure_of_a_pool(self) -> None:
        context = build_context()
        for level in (0.5, 2.5, 1.0):
            context.collect_pressure("billing", level)
        self.assertEqual(context.pressures, {"billing": 2.5})

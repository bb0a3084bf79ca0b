"""Tests of the operators' requests on a control host."""

import unittest
from datetime import timedelta
from unittest import mock

from sequoiaseam import _operator_requests
from sequoiaseam._commands import ReplaceDocument
from sequoiaseam._operator_requests import (
    OperatorRequestHandler,
    OperatorRequestHooks,
)
from sequoiaseam._state import FleetState
from tests.builders import build_route, build_tables


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against entries of the log that no control host can apply."""

    async def test_an_edit_that_cannot_be_checked_is_not_logged(self) -> None:
        runner = mock.AsyncMock()
        handler = OperatorRequestHandler(
            FleetState,
            runner,
            mock.Mock(),
            mock.Mock(),
            OperatorRequestHooks(
                get_leadership=lambda: None,
                wait_until_applied=mock.AsyncMock(),
                find_revision_index=lambda revision: revision,
            ),
        )
        route = build_route(timeout=timedelta(seconds=1))
        edit = ReplaceDocument(
            "e1", "ana", 0, 1, build_tables(route), (), b"{}"
        )
        with (
            mock.patch.object(
                _operator_requests,
                "find_problems",
                side_effect=OverflowError,
                create=True,
            ),
            self.assertRaises(OverflowError),
        ):
            await handler.replace_document(edit)
        runner.propose.assert_not_called()


if __name__ == "__main__":
    unittest.main()

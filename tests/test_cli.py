"""Tests of the command line against a fake client."""

import hashlib
import io
import json
import tempfile
import unittest
from collections.abc import AsyncIterator, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from rich.console import Console

from sequoiaseam._cli import run
from sequoiaseam._cli_environment import Environment
from sequoiaseam._operator_edits import SUBMIT_RETRY_DELAYS_S
from sequoiaseam._operator_messages import (
    BackupAnswer,
    EditAnswer,
    EditOutcome,
    EvacuateRequest,
    FollowEvent,
    FollowKind,
    InForceAnswer,
    KeySummary,
    ReplicaStatus,
    ShowAnswer,
    StatusAnswer,
    UnreachableError,
)
from sequoiaseam._settings import Endpoint
from sequoiaseam._tablefile import format_tables, parse_tables
from sequoiaseam._tables import Tables, Workspace
from sequoiaseam.errors import ErrorCode, SeamError
from tests.builders import build_member, build_tables
from tests.test_report import SECOND, build_answer

TABLES = build_tables()
ACCEPTED = EditAnswer("e", EditOutcome.ACCEPTED, 8)
UNKNOWN = SeamError(ErrorCode.OUTCOME_UNKNOWN, "the answer was lost")
UNREACHABLE = UnreachableError("no control host answered")
EVENT = FollowEvent(
    5, 8, FollowKind.TABLES, "tables replaced", "ana", tables=Tables()
)
DEFAULT_ANSWERS: dict[str, tuple[Any, ...]] = {
    "show": (
        ShowAnswer(
            7,
            4,
            TABLES,
            (KeySummary("coop-1", "coop"),),
            (build_member(),),
        ),
    ),
    "status": (
        StatusAnswer(
            "c1",
            3,
            9,
            7,
            (ReplicaStatus("c1", "id-1", "leader", 9, SECOND),),
            (build_member(),),
            lagging=("node-4",),
        ),
    ),
    "report": (build_answer((8, 2)), build_answer((9, 3))),
    "backup": (BackupAnswer(9, 7, b"state"),),
    "in_force": (InForceAnswer(in_force=True),),
    "follow": (EVENT, UNREACHABLE),
    "edit": (ACCEPTED,),
}
EDIT_METHODS = (
    *("apply", "add_key", "withdraw_key", "drain", "replace"),
    "evacuate",
)


class FakeClient:
    """Return prepared answers in order, then repeat the last one."""

    def __init__(self, **answers: Sequence[Any]) -> None:
        self.answers = {
            k: list(v) for k, v in {**DEFAULT_ANSWERS, **answers}.items()
        }
        self.requests: list[Any] = []
        self.closed = False

    def _next_answer(self, name: str) -> Any:
        answers = self.answers[name]
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer

    def __getattr__(self, name: str) -> Any:
        async def call(request: Any) -> Any:
            self.requests.append(request)
            return self._next_answer("edit" if name in EDIT_METHODS else name)

        return call

    async def follow(self, request: Any) -> AsyncIterator[FollowEvent]:
        self.requests.append(request)
        yield self._next_answer("follow")

    async def close(self) -> None:
        self.closed = True


class CliTest(unittest.TestCase):
    """Guards against output and exit codes that contradict the outcome."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.secrets = self.write_file(
            "secrets", f"[operators]\ncurrent={'a' * 64}"
        )
        self.sleeps: list[float] = []

    def write_file(self, name: str, text: str) -> Path:
        path = self.folder / name
        path.write_text(text)
        path.chmod(0o600)
        return path

    def write_tables(self, *, burst: int = 9, count: int = 1) -> Path:
        workspaces = tuple(
            Workspace(f"w{number}", 1.0, burst) for number in range(count)
        )
        tables = replace(
            TABLES,
            workspaces={
                **TABLES.workspaces,
                **{workspace.name: workspace for workspace in workspaces},
            },
        )
        return self.write_file("tables.ini", format_tables(tables))

    def run_command(
        self,
        client: FakeClient,
        *tokens: object,
        confirmed: bool = False,
    ) -> tuple[int, str, str]:
        """Run a command; return its exit code, stdout and stderr."""

        async def sleep(delay: float) -> None:
            self.sleeps.append(delay)

        def connect(addresses: Sequence[Endpoint], _: Path) -> Any:
            self.assertEqual(addresses[1], Endpoint("127.0.0.1", 2))
            return client

        out, err = io.StringIO(), io.StringIO()
        env = Environment(
            connect=connect,
            confirm=lambda _: confirmed,
            sleep=sleep,
            output=Console(file=out, width=300, markup=False),
            errors=Console(file=err, width=300, markup=False),
        )
        connection_options = ["--control", "127.0.0.1:1,127.0.0.1:2"]
        connection_options += [
            "--secrets",
            str(self.secrets),
            "--operator",
            "ana",
        ]
        is_offline = tokens[0] in ("check", "completion")
        code = run(
            [*map(str, tokens), *([] if is_offline else connection_options)],
            env,
        )
        if not is_offline and code != 2:
            self.assertTrue(client.closed)
        return code, out.getvalue(), err.getvalue()

    def test_apply_prints_the_diff_and_submits_once(self) -> None:
        client = FakeClient()
        code, out, err = self.run_command(client, "apply", self.write_tables())
        self.assertEqual(code, 0)
        self.assertIn("+ [workspace w0]", out)
        self.assertIn("accepted as revision 8", err)
        _, request = client.requests
        self.assertEqual((request.base_revision, request.operator), (7, "ana"))

    def test_dry_run_and_unchanged_tables_submit_nothing(self) -> None:
        unchanged = self.write_file("same.ini", format_tables(TABLES))
        for tokens in ((self.write_tables(), "--dry-run"), (unchanged,)):
            with self.subTest(tokens=tokens):
                client = FakeClient()
                code, _, _ = self.run_command(client, "apply", *tokens)
                self.assertEqual((code, len(client.requests)), (0, 1))

    def test_exit_code_of_each_outcome(self) -> None:
        cases: dict[tuple[Any, ...], tuple[int, str]] = {
            (EditAnswer("e", EditOutcome.CONFLICT, 9),): (3, "CONFLICT"),
            (EditAnswer("e", EditOutcome.INVALID, 7, "pool: x"),): (
                1,
                "TABLE_INVALID: pool: x",
            ),
            (EditAnswer("e", EditOutcome.UNKNOWN, 0),): (4, "--edit-id"),
            (UNKNOWN,): (4, "may take effect yet"),
            (UNREACHABLE,): (5, "no control host"),
            (UNKNOWN, UNREACHABLE): (4, "unknown"),
            (UNKNOWN, SeamError(ErrorCode.ACCESS_DENIED, "no")): (4, "no"),
            (SeamError(ErrorCode.ACCESS_DENIED, "no"),): (1, "ACCESS_DENIED"),
            (SeamError(ErrorCode.NOT_LEADER, "no"), ACCEPTED): (0, "8"),
        }
        for answers, (expected, text) in cases.items():
            with self.subTest(answers=answers):
                client = FakeClient(edit=answers)
                code, _, err = self.run_command(
                    client,
                    "apply",
                    self.write_tables(),
                )
                self.assertEqual(code, expected)
                self.assertIn(text, err)

    def test_unknown_outcome_is_retried_with_the_same_edit_id(self) -> None:
        client = FakeClient(edit=(UNKNOWN, UNREACHABLE, ACCEPTED))
        code, _, _ = self.run_command(client, "apply", self.write_tables())
        self.assertEqual(code, 0)
        self.assertEqual(self.sleeps, list(SUBMIT_RETRY_DELAYS_S[:2]))
        edits = client.requests[1:]
        self.assertEqual(len(edits), 3)
        self.assertEqual(len({edit.edit_id for edit in edits}), 1)

    def test_resend_keeps_edit_id_and_base_revision(self) -> None:
        client = FakeClient()
        tokens = ("--edit-id", "abc", "--base-revision", 5)
        code, _, _ = self.run_command(
            client,
            "apply",
            self.write_tables(),
            *tokens,
        )
        request = client.requests[1]
        self.assertEqual(code, 0)
        self.assertEqual((request.edit_id, request.base_revision), ("abc", 5))

    def test_old_base_revision_is_a_conflict(self) -> None:
        client = FakeClient()
        tokens = (self.write_tables(), "--base-revision", 5)
        code, _, err = self.run_command(client, "apply", *tokens)
        self.assertEqual((code, len(client.requests)), (3, 1))
        self.assertIn("newest revision is 7", err)

    def test_many_removed_rows_need_confirmation(self) -> None:
        text = format_tables(replace(TABLES, workspaces={}))
        path = self.write_file("few.ini", text)
        for tokens, confirmed, expected in (
            ((), False, 1),
            ((), True, 0),
            (("--yes",), False, 0),
        ):
            with self.subTest(tokens=tokens, confirmed=confirmed):
                client = FakeClient()
                code, out, _ = self.run_command(
                    client,
                    "apply",
                    path,
                    *tokens,
                    confirmed=confirmed,
                )
                self.assertEqual(code, expected)
                self.assertIn("- [workspace coop]", out)
                self.assertEqual(len(client.requests), 2 - expected)

    def test_wait_names_lagging_hosts(self) -> None:
        lagging = InForceAnswer(in_force=False, lagging=("node-3",))
        tokens = (self.write_tables(), "--wait", "--wait-timeout", 2)
        client = FakeClient(in_force=(lagging,))
        code, _, err = self.run_command(client, "apply", *tokens)
        self.assertEqual(code, 6)
        self.assertIn("node-3", err)
        self.assertEqual(sum(self.sleeps), 2.0)
        client = FakeClient(
            in_force=(lagging, UNREACHABLE, *DEFAULT_ANSWERS["in_force"])
        )
        code, _, _ = self.run_command(client, "apply", *tokens)
        self.assertEqual(code, 0)

    def test_key_token_is_printed_once_and_never_sent(self) -> None:
        client = FakeClient()
        code, out, err = self.run_command(client, "key", "add", "coop")
        (request,) = client.requests
        token = out.strip()
        self.assertEqual(code, 0)
        digest = hashlib.sha256(token.encode()).digest()
        self.assertEqual(request.digest, digest)
        self.assertNotIn(token, repr(request) + err)
        client = FakeClient(edit=(UNKNOWN,))
        code, out, err = self.run_command(client, "key", "add", "coop")
        self.assertEqual((code, out), (4, ""))
        self.assertIn("key withdraw coop-", err)

    def test_other_edits_send_their_arguments(self) -> None:
        cases: dict[tuple[str, ...], dict[str, object]] = {
            ("key", "withdraw", "k1"): {"key_id": "k1"},
            ("drain", "node-1"): {"host": "node-1"},
            ("evacuate", "end", "domain-1"): {
                "domain": "domain-1",
                "evacuated": False,
                "operator": "ana",
            },
            ("control", "replace", "c1", "c4=10.0.0.4:7", "--yes"): {
                "old": "c1",
                "new_name": "c4",
                "new": "10.0.0.4:7",
            },
            ("control", "replace", "c1", "c1", "--yes"): {"new": ""},
        }
        for tokens, values in cases.items():
            with self.subTest(tokens=tokens):
                client = FakeClient()
                code, _, _ = self.run_command(client, *tokens)
                self.assertEqual(code, 0)
                (request,) = client.requests
                for name, value in values.items():
                    self.assertEqual(getattr(request, name), value)

    def test_an_order_that_empties_pools_needs_an_option(self) -> None:
        """The only server of the pool "history" is in domain-1."""
        command = ("evacuate", "start", "domain-1")
        for options, expected_code, is_sent in (
            ((), 1, False),
            (("--dry-run",), 0, False),
            (("--dry-run", "--allow-empty-pools"), 0, False),
            (("--allow-empty-pools",), 0, True),
        ):
            with self.subTest(options=options):
                client = FakeClient()
                code, out, _ = self.run_command(client, *command, *options)
                self.assertEqual(code, expected_code)
                self.assertIn("pool history: no server left", out)
                orders = [
                    (r.domain, r.evacuated)
                    for r in client.requests
                    if isinstance(r, EvacuateRequest)
                ]
                self.assertEqual(orders, [("domain-1", True)] * is_sent)

    def test_an_order_that_empties_no_pool_is_sent(self) -> None:
        """One that is given again empties none either."""
        (show,) = DEFAULT_ANSWERS["show"]
        evacuated = replace(show, evacuated_domains=("domain-1",))
        for domain, answer in (("absent", show), ("domain-1", evacuated)):
            with self.subTest(domain=domain):
                client = FakeClient(show=(answer,))
                code, out, _ = self.run_command(
                    client, "evacuate", "start", domain
                )
                self.assertEqual((code, out), (0, ""))
                self.assertIsInstance(client.requests[-1], EvacuateRequest)

    def test_an_order_with_an_unknown_outcome_is_sent_again(self) -> None:
        client = FakeClient(edit=(UNKNOWN, UNREACHABLE, ACCEPTED))
        code, _, _ = self.run_command(
            client, "evacuate", "start", "domain-1", "--allow-empty-pools"
        )
        self.assertEqual(code, 0)
        orders = [r for r in client.requests if isinstance(r, EvacuateRequest)]
        self.assertEqual(len(orders), 3)
        self.assertEqual(len({order.edit_id for order in orders}), 1)

    def test_show_lists_evacuated_domains(self) -> None:
        (show,) = DEFAULT_ANSWERS["show"]
        answer = replace(show, evacuated_domains=("domain-3",))
        for tokens in (("show",), ("show", "evacuations")):
            with self.subTest(tokens=tokens):
                client = FakeClient(show=(answer,))
                code, out, _ = self.run_command(client, *tokens)
                self.assertEqual(code, 0)
                self.assertIn("domain-3", out)

    def test_views_print_the_answer(self) -> None:
        cases = {
            ("show",): ("coop-1", "node-1", "quotes", "history"),
            ("show", "keys"): ("coop-1",),
            ("key", "list"): ("coop-1",),
            ("status",): ("leader c1", "node-4", "serving"),
            ("control", "status"): ("id-1",),
            ("report",): ("QUEUE_FULL 2", "n9"),
            ("report", "--by", "pool", "--last", 5): ("QUEUE_FULL 1",),
            ("report", "--live", "--rounds", 2): ("QUEUE_FULL 1",),
            ("report", "--format", "csv"): ("quotes,history,coop,high,10",),
            ("histogram", "--pool", "history"): ("service: 9 requests",),
            ("completion", "fish"): ("sequoiaseam",),
        }
        for tokens, texts in cases.items():
            with self.subTest(tokens=tokens):
                code, out, _ = self.run_command(FakeClient(), *tokens)
                self.assertEqual(code, 0)
                for text in texts:
                    self.assertIn(text, out)
        _, out, _ = self.run_command(
            FakeClient(), "report", "--format", "json"
        )
        self.assertEqual(json.loads(out)["total"]["offered"], 11)
        _, out, _ = self.run_command(FakeClient(), "show", "--ini")
        self.assertEqual(parse_tables(out), TABLES)

    def test_follow_resumes_after_the_last_event(self) -> None:
        client = FakeClient()
        code, out, _ = self.run_command(client, "follow")
        self.assertEqual(code, 5)
        self.assertIn("index 5 revision 8 tables by ana", out)
        self.assertIn("- [route quotes]", out)
        indexes = [request.after_index for request in client.requests[1:]]
        self.assertEqual(indexes[:2], [4, 5])

    def test_backup_is_private_and_never_overwrites(self) -> None:
        path = self.folder / "state"
        tokens = ("control", "backup", path)
        code, _, _ = self.run_command(FakeClient(), *tokens)
        self.assertEqual((code, path.read_bytes()), (0, b"state"))
        self.assertEqual(path.stat().st_mode & 0o777, 0o600)
        code, _, err = self.run_command(
            FakeClient(), "control", "backup", path
        )
        self.assertEqual(code, 1)
        self.assertIn("DISK_FAILED", err)

    def test_check_reports_code_file_line_row_and_column(self) -> None:
        path = self.write_file("bad.ini", "[pool p]\nslots = 0\nqueue = x\n")
        code, _, err = self.run_command(FakeClient(), "check", path)
        self.assertEqual(code, 1)
        self.assertIn(f"TABLE_INVALID: {path}:2: [pool p] slots:", err)
        self.assertIn(f"TABLE_INVALID: {path}:3: [pool p] queue:", err)
        empty = self.write_file("empty.ini", "")
        code, _, err = self.run_command(FakeClient(), "check", empty)
        self.assertEqual(code, 1)

    def test_invalid_usage(self) -> None:
        for tokens in (
            ("bogus",),
            ("apply",),
            ("apply", self.write_tables(), "--edit-id", "x"),
            ("report", "--by", "host"),
            ("report", "--rounds", 2),
            ("report", "--last", "-1"),
            ("report", "--last", "nan"),
            ("key", "withdraw", "k1", "--wait", "--wait-timeout", "nan"),
            ("control", "replace", "c1", "c4"),
            ("show", "--control", "localhost:1"),
        ):
            with self.subTest(tokens=tokens):
                code, out, err = self.run_command(FakeClient(), *tokens)
                self.assertEqual((code, out), (2, ""))
                self.assertIn("error: ", err)

    def test_insecure_secrets_are_refused_before_connecting(self) -> None:
        self.secrets.chmod(0o644)
        client = FakeClient()
        client.closed = True
        code, _, err = self.run_command(client, "show")
        self.assertEqual((code, client.requests), (1, []))
        self.assertIn("SETTING_INVALID", err)

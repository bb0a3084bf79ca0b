"""First start of a group, and replicas that wait to join one."""

import random
from dataclasses import dataclass
from datetime import datetime
from typing import Final

from sequoiaseam._replica_core import ReplicaConfig
from sequoiaseam._replica_leader import ReplicaLeader
from sequoiaseam._replica_messages import (
    Entry,
    HardState,
    Hello,
    HelloReply,
    Membership,
    ReplicaId,
    Restored,
    Send,
    compute_group,
)
from sequoiaseam.const import ELECTION_TIMEOUT_MAX, HEARTBEAT_INTERVAL

# Empty replicas that are remembered as candidates for a replacement.
WAITING_LIMIT: Final = 16
# They ask at least every ELECTION_TIMEOUT_MAX; one that stopped has
# joined or was wiped again.
WAITING_TIMEOUT: Final = 3 * ELECTION_TIMEOUT_MAX


@dataclass(frozen=True, slots=True)
class Waiting:
    """A replica that asked to join, and when it last did."""

    replica: ReplicaId
    heard: datetime


class ReplicaJoining(ReplicaLeader):
    """Form a group with other empty replicas, or ask to join one."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: Restored,
        rng: random.Random,
        now: datetime,
    ) -> None:
        super().__init__(config, restored, rng, now)
        self._empty: dict[str, ReplicaId] = {}
        self._greeted = set(config.hosts)
        self._found_group = False
        self._waiting: dict[str, Waiting] = {}
        self._hello_due = now

    def _tick_without_group(self, now: datetime) -> None:
        if now < self._hello_due:
            return
        # Once there is a group, only an operator can let this one in.
        self._hello_due = now + (
            ELECTION_TIMEOUT_MAX if self._found_group else HEARTBEAT_INTERVAL
        )
        if self._config.hosts == (self._id.host,) and self._config.bootstrap:
            self._adopt()
            return
        self._greet()

    def _greet(self) -> None:
        """Ask all known hosts, so that a leader may add this replica."""
        members = {one.host for one in self._membership().replicas}
        for host in sorted((self._greeted | members) - {self._id.host}):
            self._out.append(Send(host, Hello(self._id)))

    def _on_hello(self, now: datetime, sender: str, message: Hello) -> None:
        if message.asker.host != sender:
            return
        known = message.asker in self._membership().replicas
        room = len(self._waiting) < WAITING_LIMIT or sender in self._waiting
        if self._hard_state.group and not known and room:
            self._waiting[sender] = Waiting(message.asker, now)
        hosts = self._config.hosts
        if self._hard_state.group:
            hosts = tuple(one.host for one in self._membership().replicas)
        reply = HelloReply(
            message.asker, self._id, self._hard_state.group, hosts
        )
        self._out.append(Send(sender, reply))

    def _on_hello_reply(self, sender: str, message: HelloReply) -> None:
        """Form the group once every listed host has said it is empty.

        They must list the same hosts, or they would form two groups. A
        member of a group names the others, so that its leader learns of
        this replica whatever its settings list.
        """
        if message.asker != self._id:
            return
        if message.group:
            self._found_group = True
            self._greeted.update(message.hosts)
        same = set(message.hosts) == set(self._config.hosts)
        if self._hard_state.group or message.group or not same:
            self._empty.pop(sender, None)
            return
        if message.replica.host == sender:
            self._empty[sender] = message.replica
        others = set(self._config.hosts) - {self._id.host}
        if self._may_form() and others <= self._empty.keys():
            self._adopt()

    def _may_form(self) -> bool:
        """Return whether this host is one of those that form the group."""
        return self._config.bootstrap and self._id.host in self._config.hosts

    def _adopt(self) -> None:
        """Start a group of the listed hosts.

        Each host appends the same first entry on its own, so it needs
        no quorum.
        """
        hosts = set(self._config.hosts) - {self._id.host}
        voters = tuple(
            sorted({self._id, *(self._empty[host] for host in hosts)}),
        )
        self._set_hard_state(HardState(group=compute_group(voters)))
        self._append_entry(Entry(1, 0, b"", Membership(voters)))
        self._commit_to(1)

    def _list_join_candidates(self) -> tuple[ReplicaId, ...]:
        members = self._membership().replicas
        return tuple(
            one.replica
            for one in self._waiting.values()
            if one.replica not in members
        )

    def _expire_join_requests(self, now: datetime) -> None:
        late = [
            host
            for host, one in self._waiting.items()
            if now - one.heard > WAITING_TIMEOUT
        ]
        for host in late:
            del self._waiting[host]

"""Bootstrap of a group, and empty replicas that ask to join one."""

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
    RestoredState,
    Send,
    compute_group_id,
)
from sequoiaseam.const import ELECTION_TIMEOUT_MAX, HEARTBEAT_INTERVAL

# Empty replicas kept as candidates for a replacement.
MAX_JOIN_REQUESTS: Final = 16
# An empty replica asks at least every ELECTION_TIMEOUT_MAX; one that
# has stopped asking has joined or was wiped again.
JOIN_REQUEST_TIMEOUT: Final = 3 * ELECTION_TIMEOUT_MAX


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A replica that asked to join, and the time of its last request."""

    replica: ReplicaId
    last_heard: datetime


class ReplicaJoining(ReplicaLeader):
    """Bootstrap a group with other empty replicas, or ask to join one."""

    def __init__(
        self,
        config: ReplicaConfig,
        restored: RestoredState,
        rng: random.Random,
        now: datetime,
    ) -> None:
        super().__init__(config, restored, rng, now)
        self._empty_replicas: dict[str, ReplicaId] = {}
        self._hello_hosts = set(config.hosts)
        self._found_group = False
        self._join_requests: dict[str, JoinRequest] = {}
        self._hello_due = now

    def _tick_without_group(self, now: datetime) -> None:
        if now < self._hello_due:
            return
        # Once a group exists, only an operator can add this replica.
        self._hello_due = now + (
            ELECTION_TIMEOUT_MAX if self._found_group else HEARTBEAT_INTERVAL
        )
        if self._config.hosts == (self._id.host,) and self._config.bootstrap:
            self._bootstrap_group()
            return
        self._send_hellos()

    def _send_hellos(self) -> None:
        """Send Hello to all known hosts, so that a leader can add this one."""
        members = {replica.host for replica in self._membership().replicas}
        for host in sorted((self._hello_hosts | members) - {self._id.host}):
            self._actions.append(Send(host, Hello(self._id)))

    def _on_hello(self, now: datetime, sender: str, message: Hello) -> None:
        if message.asker.host != sender:
            return
        is_replica = message.asker in self._membership().replicas
        has_room = (
            len(self._join_requests) < MAX_JOIN_REQUESTS
            or sender in self._join_requests
        )
        if self._hard_state.group and not is_replica and has_room:
            self._join_requests[sender] = JoinRequest(message.asker, now)
        hosts = self._config.hosts
        if self._hard_state.group:
            hosts = tuple(
                replica.host for replica in self._membership().replicas
            )
        reply = HelloReply(
            message.asker,
            self._id,
            self._hard_state.group,
            hosts,
        )
        self._actions.append(Send(sender, reply))

    def _on_hello_reply(self, sender: str, message: HelloReply) -> None:
        """Bootstrap the group once all configured hosts report empty.

        Their settings must list the same hosts, or two groups could
        form. A member of a group replies with the hosts of all members,
        so that this replica reaches the leader even if its own settings
        don't list that host.
        """
        if message.asker != self._id:
            return
        if message.group:
            self._found_group = True
            self._hello_hosts.update(message.hosts)
        if message.group and message.group == self._hard_state.group:
            self._is_excluded = self._id.host not in message.hosts
        same_hosts = set(message.hosts) == set(self._config.hosts)
        if self._hard_state.group or message.group or not same_hosts:
            self._empty_replicas.pop(sender, None)
            return
        if message.replica.host == sender:
            self._empty_replicas[sender] = message.replica
        others = set(self._config.hosts) - {self._id.host}
        if self._can_bootstrap() and others <= self._empty_replicas.keys():
            self._bootstrap_group()

    def _can_bootstrap(self) -> bool:
        """Return whether this host takes part in the bootstrap."""
        return self._config.bootstrap and self._id.host in self._config.hosts

    def _bootstrap_group(self) -> None:
        """Start a group of the configured hosts.

        Each host appends the same first entry by itself, so committing
        it needs no quorum.
        """
        hosts = set(self._config.hosts) - {self._id.host}
        voters = tuple(
            sorted(
                {self._id, *(self._empty_replicas[host] for host in hosts)},
            ),
        )
        self._set_hard_state(HardState(group=compute_group_id(voters)))
        self._append_entry(Entry(1, 0, b"", Membership(voters)))
        self._commit_to(1)

    def _list_join_candidates(self) -> tuple[ReplicaId, ...]:
        members = self._membership().replicas
        return tuple(
            request.replica
            for request in self._join_requests.values()
            if request.replica not in members
        )

    def _expire_join_requests(self, now: datetime) -> None:
        expired = [
            host
            for host, request in self._join_requests.items()
            if now - request.last_heard > JOIN_REQUEST_TIMEOUT
        ]
        for host in expired:
            del self._join_requests[host]

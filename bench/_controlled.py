"""Emulated node that runs the real decision code."""

import itertools
import random
from collections import defaultdict
from dataclasses import replace
from datetime import timedelta
from functools import partial
from typing import Final
from weakref import WeakKeyDictionary

from bench.emulator import (
    BackendServer,
    CallPlan,
    EmulatedNode,
    Fleet,
    Job,
    Outcome,
    Reply,
    Respond,
    RootAttempt,
)
from sequoiaseam._admission import Admission, AdmissionAction, Start
from sequoiaseam._balancer import Balancer, CallResult
from sequoiaseam._commands import Member, MemberState
from sequoiaseam._limiter import Completion
from sequoiaseam._pressure import PressureMap
from sequoiaseam._queue import Ticket
from sequoiaseam._retry import RetryBudget, RetryShare
from sequoiaseam._tables import Pool

RETRIES_PER_REQUEST: Final = 2
TICK_SECONDS: Final = 0.05
# Time until all nodes know that a request crashed a backend server.
CRASH_REPORT_DELAY_SECONDS: Final = 0.25
WARMUP: Final = timedelta(seconds=2)
CALL_RESULT_BY_OUTCOME: Final = {
    Outcome.OK: CallResult.OK,
    Outcome.REFUSED: CallResult.REFUSED,
    Outcome.NESTED_REFUSAL: CallResult.REFUSED,
    Outcome.DOWN: CallResult.FAILED,
    Outcome.FAILED: CallResult.FAILED,
    Outcome.LOST: CallResult.LOST,
    Outcome.EXPIRED: CallResult.TIMEOUT,
    Outcome.QUARANTINED: CallResult.REFUSED,
}
COMPLETION_BY_OUTCOME: Final = {
    Outcome.OK: Completion.OK,
    Outcome.REFUSED: Completion.SHED,
    Outcome.NESTED_REFUSAL: Completion.FAILED,
    Outcome.DOWN: Completion.FAILED,
    Outcome.FAILED: Completion.FAILED,
    Outcome.LOST: Completion.FAILED,
    Outcome.EXPIRED: Completion.TIMEOUT,
    Outcome.QUARANTINED: Completion.FAILED,
}


class Quarantine:
    """A fleet-wide quarantine without the distributed protocol.

    A request that crashed one backend server runs alone; a request that
    crashed two is refused.
    """

    def __init__(self) -> None:
        self.crash_counts: defaultdict[int, int] = defaultdict(int)
        self.cleared: set[int] = set()

    def report(self, numbers: set[int]) -> None:
        """Count a crash for each request that was running at the time."""
        for number in numbers - self.cleared:
            self.crash_counts[number] += 1

    def is_suspect(self, number: int) -> bool:
        """Return whether a request must run alone."""
        return self.crash_counts.get(number, 0) > 0

    def is_quarantined(self, number: int) -> bool:
        """Return whether a request has crashed two backend servers."""
        return self.crash_counts.get(number, 0) > 1

    def clear(self, number: int) -> None:
        """Clear a request that was suspected and has completed."""
        if self.crash_counts.pop(number, 0):
            self.cleared.add(number)


class _PendingCall:
    """A queued or running call at the node of its backend server."""

    def __init__(
        self,
        root: RootAttempt,
        plan: CallPlan,
        budget: int,
        respond: Respond,
    ) -> None:
        self.root = root
        self.plan = plan
        self.budget = RetryBudget(budget)
        self.respond = respond
        self.job: Job | None = None
        self.running = False


class ControlledNode(EmulatedNode):
    """A node with admission, pressure, retry budgets and balancing."""

    def __init__(self, fleet: Fleet, name: str, server: BackendServer) -> None:
        super().__init__(fleet, name, server)
        self.rng = random.Random(self.sim.rng.random())
        spec = server.spec
        self.pool = Pool(
            spec.name,
            spec.slots,
            spec.connections,
            spec.queue,
            WARMUP,
        )
        # The backend servers are warm at the start and cold after a crash.
        warm_pool = replace(self.pool, warmup=timedelta(0))
        self.admission = Admission(warm_pool, 0, self.sim.now, self.rng)
        self.pressure = PressureMap(self.rng)
        domain = fleet.network.failure_domains[name]
        self.balancer = Balancer(name, domain, "region", self.rng)
        self.retry_shares: dict[str, RetryShare] = {}
        self.calls: dict[int, _PendingCall] = {}
        self.numbers = itertools.count()
        # Pools that nested calls have reached, by route.
        self.downstream_pools: defaultdict[str, set[str]] = defaultdict(set)
        server.on_crash = self._handle_crash
        server.on_restart = self._handle_restart
        self.sim.schedule(TICK_SECONDS * self.rng.random(), self._tick)

    def handle_request(self, root: RootAttempt, respond: Respond) -> None:
        """Check quota and pressure, then forward with a full retry budget."""
        quota = self.fleet.quota
        if quota and not quota.spend(self.sim.time, root.workspace.name):
            respond(Reply(Outcome.QUOTA))
            return
        route = root.route
        retry_after = self.pressure.decide(
            self.sim.now,
            route.name,
            route.importance,
            root.workspace.name,
            root.workspace.share,
        )
        if retry_after is not None:
            respond(Reply(Outcome.REFUSED))
            return
        budget = RetryBudget(RETRIES_PER_REQUEST)
        tried: frozenset[str] = frozenset()
        self._attempt(root, budget, tried, route.plan, respond)

    def execute(
        self,
        root: RootAttempt,
        plan: CallPlan,
        budget: int,
        respond: Respond,
    ) -> None:
        """Offer a call to the admission of this node's backend server."""
        if not self.server.alive:
            respond(Reply(Outcome.DOWN, unused_retries=budget))
            return
        if get_quarantine(self.fleet).is_quarantined(root.number):
            respond(Reply(Outcome.QUARANTINED, unused_retries=budget))
            return
        number = next(self.numbers)
        self.calls[number] = _PendingCall(root, plan, budget, respond)
        root.cancel_callbacks.append(partial(self._cancel_call, number))
        ticket = Ticket(
            number,
            root.route.importance,
            root.workspace.name,
            root.workspace.share,
            self.sim.now,
            root.deadline,
            plan is not root.route.plan,
            get_quarantine(self.fleet).is_suspect(root.number),
        )
        self.admission.record_load(self.sim.now, self.server.load)
        self._perform_actions(self.admission.offer(self.sim.now, ticket))

    def set_members(self, members: dict[str, Member]) -> None:
        """Replace the members that the balancer knows."""
        self.balancer.update(self.sim.now, members)

    def drop_peer(self, name: str) -> None:
        """Stop using a peer whose connection is lost."""
        self.balancer.mark_unreachable(self.sim.now, name)
        super().drop_peer(name)

    def restore_peer(self, name: str) -> None:
        """Use a peer again after a new connection to it."""
        self.balancer.mark_reachable(self.sim.now, name)

    def _attempt(
        self,
        root: RootAttempt,
        budget: RetryBudget,
        tried: frozenset[str],
        plan: CallPlan,
        respond: Respond,
    ) -> None:
        if root.cancelled:
            respond(Reply(Outcome.EXPIRED))
            return
        name = self.balancer.choose(self.sim.now, plan.service, tried)
        if name is None:
            respond(Reply(Outcome.REFUSED))
            return
        self.balancer.start(self.sim.now, name)
        share = self._get_retry_share(plan.service)
        if not tried:
            share.record(self.sim.now)
        peer = self.fleet.nodes[name]
        assert isinstance(peer, ControlledNode)
        sent = self.sim.now

        def finish(reply: Reply) -> None:
            latency = self.sim.now - sent
            self._record_reply(root, name, reply, latency, budget)
            if not self._can_retry(root, reply, budget, share):
                respond(reply)
                return
            self._attempt(root, budget, tried | {name}, plan, respond)

        nested_retries = budget.split()
        self.transmit(
            peer, partial(peer.execute, root, plan, nested_retries), finish
        )

    def _record_reply(
        self,
        root: RootAttempt,
        name: str,
        reply: Reply,
        latency: timedelta,
        budget: RetryBudget,
    ) -> None:
        now = self.sim.now
        result = CALL_RESULT_BY_OUTCOME[reply.outcome]
        self.balancer.finish(now, name, result, latency)
        if reply.load is not None:
            self.balancer.record_load(now, name, reply.load)
        self.pressure.observe(now, root.route.name, reply.pressures)
        pools = (pressure.pool for pressure in reply.pressures)
        self.downstream_pools[root.route.name].update(pools)
        budget.give_back(reply.unused_retries)

    def _can_retry(
        self,
        root: RootAttempt,
        reply: Reply,
        budget: RetryBudget,
        share: RetryShare,
    ) -> bool:
        safe = reply.outcome in (Outcome.REFUSED, Outcome.DOWN) or (
            reply.outcome in (Outcome.FAILED, Outcome.LOST)
            and root.route.idempotent
        )
        if not safe or root.cancelled or not budget.remaining:
            return False
        return share.allow(self.sim.now) and budget.take()

    def _get_retry_share(self, pool: str) -> RetryShare:
        return self.retry_shares.setdefault(pool, RetryShare(0.1))

    def _perform_actions(self, actions: tuple[AdmissionAction, ...]) -> None:
        for action in actions:
            call = self.calls.get(action.ticket_id)
            if call is None:
                continue
            if isinstance(action, Start):
                self._start_call(action.ticket_id, call)
            else:
                del self.calls[action.ticket_id]
                self._send_reply(call, Outcome.REFUSED)

    def _start_call(self, number: int, call: _PendingCall) -> None:
        call.running = True
        tried: frozenset[str] = frozenset()

        def forward(plan: CallPlan, respond: Respond) -> None:
            def resume_call(reply: Reply) -> None:
                self.admission.resume(self.sim.now, number)
                respond(reply)

            self._attempt(call.root, call.budget, tried, plan, resume_call)
            self._perform_actions(self.admission.suspend(self.sim.now, number))

        finish = partial(self._finish_call, number)
        call.job = self.run_job(call.root, call.plan, forward, finish)

    def _finish_call(self, number: int, reply: Reply) -> None:
        call = self.calls.pop(number, None)
        if call is None:
            return
        if reply.outcome is Outcome.OK:
            get_quarantine(self.fleet).clear(call.root.number)
        completion = COMPLETION_BY_OUTCOME[reply.outcome]
        actions = self.admission.finish(self.sim.now, number, completion)
        send_reply = partial(self._send_reply, call, reply.outcome)
        if self.server.alive:
            send_reply()
        else:
            # The reply is delayed so that a retry doesn't arrive before the
            # report of the crash.
            self.sim.schedule(CRASH_REPORT_DELAY_SECONDS, send_reply)
        self._perform_actions(actions)

    def _cancel_call(self, number: int) -> None:
        """Cancel a call that its caller no longer waits for."""
        call = self.calls.pop(number, None)
        if call is None:
            return
        if call.job is not None:
            self.server.release(call.job)
        if call.running:
            completion = Completion.TIMEOUT
            actions = self.admission.finish(self.sim.now, number, completion)
        else:
            actions = self.admission.cancel(self.sim.now, number)
        self._send_reply(call, Outcome.EXPIRED)
        self._perform_actions(actions)

    def _send_reply(self, call: _PendingCall, outcome: Outcome) -> None:
        now = self.sim.now
        downstream_pools = frozenset(
            self.downstream_pools[call.root.route.name]
        )
        pressures = (
            self.admission.measure_pressure(now),
            *self.pressure.collect(now, downstream_pools - {self.pool.name}),
        )
        unused = call.budget.remaining
        load = self.server.load
        call.respond(Reply(outcome, pressures, unused, load))

    def _handle_crash(self) -> None:
        running = {c.root.number for c in self.calls.values() if c.running}
        if self.name not in self.fleet.network.down_nodes:
            report = partial(get_quarantine(self.fleet).report, running)
            self.sim.schedule(CRASH_REPORT_DELAY_SECONDS / 2, report)
        for number, call in list(self.calls.items()):
            if not call.running:
                del self.calls[number]
                self.admission.cancel(self.sim.now, number)
                unused = call.budget.remaining
                call.respond(Reply(Outcome.DOWN, unused_retries=unused))

    def _handle_restart(self) -> None:
        self.admission = Admission(self.pool, 0, self.sim.now, self.rng)

    def _tick(self) -> None:
        if self.server.alive:
            self._perform_actions(self.admission.tick(self.sim.now))
        self.sim.schedule(TICK_SECONDS, self._tick)


def get_quarantine(fleet: Fleet) -> Quarantine:
    """Return the quarantine of a fleet, creating it if needed."""
    return QUARANTINE_BY_FLEET.setdefault(fleet, Quarantine())


QUARANTINE_BY_FLEET: WeakKeyDictionary[Fleet, Quarantine] = WeakKeyDictionary()


def build_members(
    fleet: Fleet, excluded_names: frozenset[str]
) -> dict[str, Member]:
    """Return the members of a fleet without the excluded ones."""
    return {
        name: Member(
            name,
            1,
            "127.0.0.1",
            7001,
            node.server.spec.name,
            fleet.network.failure_domains[name],
            "region",
            MemberState.SERVING,
            node.server.spec.slots,
        )
        for name, node in fleet.nodes.items()
        if name not in excluded_names
    }

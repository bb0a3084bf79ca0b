"""Emulated node that is controlled by the real decision code."""

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

RETRIES: Final = 2
TICK: Final = 0.05
# Seconds until all nodes know that a request crashed a server.
REPORT_DELAY: Final = 0.25
WARMUP: Final = timedelta(seconds=2)
RESULTS: Final = {
    Outcome.OK: CallResult.OK,
    Outcome.REFUSED: CallResult.REFUSED,
    Outcome.NESTED_REFUSAL: CallResult.REFUSED,
    Outcome.DOWN: CallResult.FAILED,
    Outcome.FAILED: CallResult.FAILED,
    Outcome.LOST: CallResult.LOST,
    Outcome.EXPIRED: CallResult.TIMEOUT,
    Outcome.QUARANTINED: CallResult.REFUSED,
}
COMPLETIONS: Final = {
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
    """Fleet-wide stand-in: alone after one crash, refused after two."""

    def __init__(self) -> None:
        self.crashes: defaultdict[int, int] = defaultdict(int)
        self.cleared: set[int] = set()

    def report(self, numbers: set[int]) -> None:
        """Count a crash for each request that was running."""
        for number in numbers - self.cleared:
            self.crashes[number] += 1

    def is_suspect(self, number: int) -> bool:
        """Tell whether a request must run alone."""
        return self.crashes.get(number, 0) > 0

    def is_refused(self, number: int) -> bool:
        """Tell whether a request has crashed two servers."""
        return self.crashes.get(number, 0) > 1

    def clear(self, number: int) -> None:
        """Forget a request that completed elsewhere."""
        if self.crashes.pop(number, 0):
            self.cleared.add(number)


class _Call:
    """A call at the executing node."""

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
    """Admission, pressure, retry budgets and balancing as designed."""

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
        # The servers are warm at the start and cold after a crash.
        warm = replace(self.pool, warmup=timedelta(0))
        self.admission = Admission(warm, 0, self.sim.now, self.rng)
        self.pressure = PressureMap(self.rng)
        domain = fleet.network.failure_domains[name]
        self.balancer = Balancer(name, domain, "region", self.rng)
        self.shares: dict[str, RetryShare] = {}
        self.calls: dict[int, _Call] = {}
        self.numbers = itertools.count()
        # Pools reached through nested calls of each route.
        self.below: defaultdict[str, set[str]] = defaultdict(set)
        server.on_crash = self._crash
        server.on_restart = self._restart
        self.sim.schedule(TICK * self.rng.random(), self._tick)

    def handle_request(self, root: RootAttempt, respond: Respond) -> None:
        """Check the pressure, then forward with a whole budget."""
        quota = self.fleet.quota
        if quota and not quota.spend(self.sim.time, root.workspace.name):
            respond(Reply(Outcome.QUOTA))
            return
        route = root.route
        wait = self.pressure.decide(
            self.sim.now,
            route.name,
            route.importance,
            root.workspace.name,
            root.workspace.share,
        )
        if wait is not None:
            respond(Reply(Outcome.REFUSED))
            return
        budget = RetryBudget(RETRIES)
        tried: frozenset[str] = frozenset()
        self._attempt(root, budget, tried, route.plan, respond)

    def execute(
        self,
        root: RootAttempt,
        plan: CallPlan,
        budget: int,
        respond: Respond,
    ) -> None:
        """Offer a call to the own server's admission."""
        if not self.server.alive:
            respond(Reply(Outcome.DOWN, unused_retries=budget))
            return
        if quarantine(self.fleet).is_refused(root.number):
            respond(Reply(Outcome.QUARANTINED, unused_retries=budget))
            return
        number = next(self.numbers)
        self.calls[number] = _Call(root, plan, budget, respond)
        root.cancel_callbacks.append(partial(self._stop, number))
        ticket = Ticket(
            number,
            root.route.importance,
            root.workspace.name,
            root.workspace.share,
            self.sim.now,
            root.deadline,
            plan is not root.route.plan,
            quarantine(self.fleet).is_suspect(root.number),
        )
        self.admission.record_load(self.sim.now, self.server.load)
        self._act(self.admission.offer(self.sim.now, ticket))

    def set_members(self, members: dict[str, Member]) -> None:
        """Take over the fleet's members."""
        self.balancer.update(self.sim.now, members)

    def drop_peer(self, name: str) -> None:
        """Stop using a peer whose connection is lost."""
        self.balancer.mark_unreachable(self.sim.now, name)
        super().drop_peer(name)

    def find_peer(self, name: str) -> None:
        """Use a peer again over a new connection."""
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
        share = self._find_share(plan.service)
        if not tried:
            share.record(self.sim.now)
        peer = self.fleet.nodes[name]
        assert isinstance(peer, ControlledNode)
        sent = self.sim.now

        def finish(reply: Reply) -> None:
            latency = self.sim.now - sent
            self._learn(root, name, reply, latency, budget)
            if not self._may_retry(root, reply, budget, share):
                respond(reply)
                return
            self._attempt(root, budget, tried | {name}, plan, respond)

        part = budget.split()
        self.transmit(peer, partial(peer.execute, root, plan, part), finish)

    def _learn(
        self,
        root: RootAttempt,
        name: str,
        reply: Reply,
        latency: timedelta,
        budget: RetryBudget,
    ) -> None:
        now = self.sim.now
        result = RESULTS[reply.outcome]
        self.balancer.finish(now, name, result, latency)
        if reply.load is not None:
            self.balancer.record_load(now, name, reply.load)
        self.pressure.observe(now, root.route.name, reply.pressures)
        pools = (pressure.pool for pressure in reply.pressures)
        self.below[root.route.name].update(pools)
        budget.give_back(reply.unused_retries)

    def _may_retry(
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

    def _find_share(self, pool: str) -> RetryShare:
        return self.shares.setdefault(pool, RetryShare(0.1))

    def _act(self, actions: tuple[AdmissionAction, ...]) -> None:
        for action in actions:
            call = self.calls.get(action.ticket_id)
            if call is None:
                continue
            if isinstance(action, Start):
                self._run(action.ticket_id, call)
            else:
                del self.calls[action.ticket_id]
                self._answer(call, Outcome.REFUSED)

    def _run(self, number: int, call: _Call) -> None:
        call.running = True
        tried: frozenset[str] = frozenset()

        def forward(plan: CallPlan, respond: Respond) -> None:
            def note(reply: Reply) -> None:
                self.admission.resume(self.sim.now, number)
                respond(reply)

            self._attempt(call.root, call.budget, tried, plan, note)
            self._act(self.admission.suspend(self.sim.now, number))

        finish = partial(self._finish, number)
        call.job = self.run_job(call.root, call.plan, forward, finish)

    def _finish(self, number: int, reply: Reply) -> None:
        call = self.calls.pop(number, None)
        if call is None:
            return
        if reply.outcome is Outcome.OK:
            quarantine(self.fleet).clear(call.root.number)
        completion = COMPLETIONS[reply.outcome]
        actions = self.admission.finish(self.sim.now, number, completion)
        answer = partial(self._answer, call, reply.outcome)
        if self.server.alive:
            answer()
        else:
            # A resend must not overtake the report of the crash.
            self.sim.schedule(REPORT_DELAY, answer)
        self._act(actions)

    def _stop(self, number: int) -> None:
        """Cancel a call whose caller has given up."""
        call = self.calls.pop(number, None)
        if call is None:
            return
        if call.job is not None:
            self.server.release(call.job)
        if call.running:
            end = Completion.TIMEOUT
            actions = self.admission.finish(self.sim.now, number, end)
        else:
            actions = self.admission.cancel(self.sim.now, number)
        self._answer(call, Outcome.EXPIRED)
        self._act(actions)

    def _answer(self, call: _Call, outcome: Outcome) -> None:
        now = self.sim.now
        below = frozenset(self.below[call.root.route.name])
        pressures = (
            self.admission.measure_pressure(now),
            *self.pressure.collect(now, below - {self.pool.name}),
        )
        unused = call.budget.remaining
        load = self.server.load
        call.respond(Reply(outcome, pressures, unused, load))

    def _crash(self) -> None:
        running = {c.root.number for c in self.calls.values() if c.running}
        if self.name not in self.fleet.network.down_nodes:
            report = partial(quarantine(self.fleet).report, running)
            self.sim.schedule(REPORT_DELAY / 2, report)
        for number, call in list(self.calls.items()):
            if not call.running:
                del self.calls[number]
                self.admission.cancel(self.sim.now, number)
                unused = call.budget.remaining
                call.respond(Reply(Outcome.DOWN, unused_retries=unused))

    def _restart(self) -> None:
        self.admission = Admission(self.pool, 0, self.sim.now, self.rng)

    def _tick(self) -> None:
        if self.server.alive:
            self._act(self.admission.tick(self.sim.now))
        self.sim.schedule(TICK, self._tick)


def quarantine(fleet: Fleet) -> Quarantine:
    """Return the fleet's quarantine."""
    return QUARANTINES.setdefault(fleet, Quarantine())


QUARANTINES: WeakKeyDictionary[Fleet, Quarantine] = WeakKeyDictionary()


def build_members(fleet: Fleet, gone: frozenset[str]) -> dict[str, Member]:
    """Return the members that the fleet's membership shows."""
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
        if name not in gone
    }

"""Emptying a store that an operator names, so that it can be taken out of service.

A store is retired by a change of the control key `retired`, which has it by identity and by name;
the replicated log then replaces it by a spare. Invariants:

- An empty disk that comes back under a retired name is retired too.
- A retirement is finished once the decided list of the log's members no longer has the store and
  the log serves again.
- A request is refused only by a node that can have heard of all stores; otherwise the status is
  DOUBT.
"""

import json
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from capacity_sharing.pending_calls import CallState, PendingCall, PendingCalls
from config_feed import ConfigFeed
from control_store import Change, ChangeResult, KeyOwner, Outcome, ReadKey
from data_plane.control_keys import LOG_KEY, RETIRED_KEY
from membership import Membership
from messaging import Component

from control_plane.retired_machines import RetiredMachines

__all__ = ["Retirement", "RetirementStatus"]

_NEVER_MS = -1
_LOG_SERVING = "serving"


class RetirementStatus(StrEnum):
    """The status of a request to retire a store, or of a question about its progress.

    - OK: the request was accepted.
    - UNKNOWN: no such store is known, or no such store was retired.
    - TOO_FEW: too few stores would be left.
    - DOUBT: the status is not known.
    - ROLLING_OUT: the store is retired, and not yet replaced.
    - FINISHED: the store is replaced and may be stopped.
    """

    OK = "ok"
    UNKNOWN = "unknown"
    TOO_FEW = "too_few"
    DOUBT = "doubt"
    ROLLING_OUT = "rolling_out"
    FINISHED = "finished"


Done = Callable[[RetirementStatus], None]


class _Call(PendingCall[RetirementStatus]):
    """A call about the store with the node name `name`."""

    __slots__ = ("name",)

    def __init__(self, name: str, due_ms: int, done: Done) -> None:
        super().__init__(due_ms, done)
        self.name = name


HaveRead = Callable[[_Call, ChangeResult], None]


def _finish_in_doubt(call: _Call, reason: str) -> None:
    call.finish(RetirementStatus.DOUBT)


class Retirement(Component):
    """The component of a control node that retires stores and reports the progress.

    `in_contact` returns whether this node hears a majority of the voters.
    """

    __slots__ = (
        "_calls",
        "_config_feed",
        "_identities",
        "_in_contact",
        "_is_retiring_again",
        "_membership",
        "_next_ms",
        "_owner",
        "_since_ms",
    )

    def __init__(
        self,
        owner: KeyOwner,
        membership: Membership,
        config_feed: ConfigFeed,
        in_contact: Callable[[], bool],
    ) -> None:
        self._owner = owner
        self._membership = membership
        self._config_feed = config_feed
        self._in_contact = in_contact
        self._calls: PendingCalls[_Call] = PendingCalls(_finish_in_doubt)
        self._identities: dict[str, str] = {}  # of the stores, by node name, as last heard
        self._is_retiring_again = False
        self._since_ms = _NEVER_MS  # in contact and without a pause since then
        self._next_ms = _NEVER_MS

    # -- operators' calls ----------------------------------------------------------------------

    def retire(self, name: str, done: Done) -> None:
        """Retire the store of this name; idempotent.

        `done` gets OK, UNKNOWN, TOO_FEW or DOUBT within `control_call_timeout_ms`.
        """
        self._begin(name, done, self._have_orders)

    def progress(self, name: str, done: Done) -> None:
        """Report the progress of a retirement by the store's name.

        `done` gets ROLLING_OUT, FINISHED, UNKNOWN or DOUBT within `control_call_timeout_ms`.
        """
        self._begin(name, done, self._find_progress)

    def _begin(self, name: str, done: Done, have_read: HaveRead) -> None:
        call = _Call(name, self.node.env.now() + self.node.settings.control_call_timeout_ms, done)
        if not self._in_contact():
            call.finish(RetirementStatus.DOUBT)
            return
        self._calls.add(call)
        self._read(RETIRED_KEY, call, have_read)

    def _read(self, key: str, call: _Call, have_read: HaveRead) -> None:
        """Read a control key; `have_read` gets the result, unless the call is over by then."""

        def done(result: ChangeResult) -> None:
            if not call.is_open:
                return
            if result.outcome != Outcome.OK:
                call.finish(RetirementStatus.DOUBT)
            else:
                have_read(call, result)

        call.state = CallState.READING
        self._owner.submit(ReadKey(key=key, hops=0), done)

    # -- progress ------------------------------------------------------------------------------

    def _find_progress(self, call: _Call, result: ChangeResult) -> None:
        identity = RetiredMachines.from_body(result.body).names.get(call.name)
        if identity is None:
            call.finish(RetirementStatus.UNKNOWN)
            return

        def have_log(call: _Call, result: ChangeResult) -> None:
            log = json.loads(result.body) if result.body else {}
            call.finish(self._progress(call.name, identity, log))

        self._read(LOG_KEY, call, have_log)

    def _progress(self, name: str, identity: str, log: dict[str, Any]) -> RetirementStatus:
        """Return how far a retirement is.

        While the log recovers, its new members may still need the records of the previous ones.
        """
        members = {row["identity"] for row in (*log.get("members", ()), *log.get("prev", ()))}
        is_replaced = members.isdisjoint({identity, self._identities.get(name, identity)})
        serves = log.get("phase") == _LOG_SERVING and self._membership.is_live(log["holder"])
        return RetirementStatus.FINISHED if is_replaced and serves else RetirementStatus.ROLLING_OUT

    # -- retiring ------------------------------------------------------------------------------

    def _have_orders(self, call: _Call, result: ChangeResult) -> None:
        """Retire the store of the call, unless it is retired already or has to be refused."""
        retired = RetiredMachines.from_body(result.body)
        status = self._status_without_change(call.name, retired)
        if status is not None:
            call.finish(status)
            return
        identity = self._identities[call.name]
        self.node.env.log("store-retires", "WARNING", name=call.name, identity=identity)
        call.state = CallState.PROPOSING
        self._propose(
            result.version,
            retired.with_names({call.name: identity}),
            lambda result: self._proposed(call, result),
        )

    def _status_without_change(
        self, name: str, retired: RetiredMachines
    ) -> RetirementStatus | None:
        """Return the status of a request that changes nothing; None if it retires the store."""
        settings = self.node.settings
        identity = self._identities.get(name)
        if identity is None:
            if name in retired.names:
                return RetirementStatus.OK
            return self._certain(RetirementStatus.UNKNOWN, settings.removal_timeout_ms)
        if identity in retired.identities and retired.names.get(name) == identity:
            return RetirementStatus.OK
        remaining = [
            info
            for info in self._membership.nodes_in_role("store", settings.failure_timeout_ms)
            if info.identity != identity and info.identity not in retired.identities
        ]
        if name not in retired.names and len(remaining) < settings.store_count:
            return self._certain(RetirementStatus.TOO_FEW, settings.failure_timeout_ms)
        return None

    def _certain(self, refusal: RetirementStatus, after_ms: int) -> RetirementStatus:
        """Return the refusal, or DOUBT unless this node has run without a pause for `after_ms`."""
        is_recent = self.node.env.now() - self._since_ms < after_ms
        return RetirementStatus.DOUBT if is_recent else refusal

    def _propose(
        self, version: int, retired: RetiredMachines, done: Callable[[ChangeResult], None]
    ) -> None:
        change = Change(
            key=RETIRED_KEY,
            version=version,
            change_id=self.node.env.token(),
            hops=0,
            body=retired.body(),
        )
        self._owner.submit(change, done)

    def _proposed(self, call: _Call, result: ChangeResult) -> None:
        if result.outcome == Outcome.OK:
            call.finish(RetirementStatus.OK)
        elif result.outcome == Outcome.LOST and call.is_open:
            self._read(RETIRED_KEY, call, self._have_orders)
        else:
            call.finish(RetirementStatus.DOUBT)

    # -- stores that come back -----------------------------------------------------------------

    def _retire_returned(self) -> None:
        """Retire stores that came back under a retired name with another identity, too."""
        if (
            self._is_retiring_again
            or not self._in_contact()
            or self._owner.owner_of(RETIRED_KEY) != self._membership.identity
        ):
            return
        retired = RetiredMachines.from_value(self._config_feed.value(RETIRED_KEY))
        returned = {
            name: self._identities[name]
            for name, identity in retired.names.items()
            if self._identities.get(name, identity) != identity
        }
        if not returned:
            return
        self._is_retiring_again = True

        def done(result: ChangeResult) -> None:
            self._is_retiring_again = False

        self._propose(self._config_feed.version(RETIRED_KEY), retired.with_names(returned), done)

    # -- time ----------------------------------------------------------------------------------

    def tick(self) -> None:
        """Note the stores' names, retire those that came back, and finish overdue calls."""
        now_ms = self.node.env.now()
        if self._since_ms < 0 or not self._in_contact():
            self._since_ms = now_ms
        if now_ms >= self._next_ms:
            self._next_ms = now_ms + self.node.settings.heartbeat_ms
            for info in self._membership.nodes_in_role(
                "store", self.node.settings.failure_timeout_ms
            ):
                self._identities[info.name] = info.identity
            self._retire_returned()
        self._calls.expire_due(now_ms)

    def resumed(self, gap_ms: int) -> None:
        """Restart the time that this node has been up without a pause."""
        self._since_ms = self.node.env.now()

"""Retirement of stores: replacing a store at an operator's request, so that it can be stopped.

A store is retired by a change of the control key `retired`, which lists it by identity and by node
name; the replicated log then replaces it by a spare. Invariants:

- A store that returns under a retired name with an empty disk, and so with another identity, is
  retired too.
- A retirement is finished once the decided list of the log's members no longer contains the store
  and the log is serving again.
- A request is refused only by a node that has been in contact for long enough to know all stores;
  otherwise the status is DOUBT.
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
    """The result of a request to retire a store, or of a query about its progress.

    - OK: the request was accepted.
    - UNKNOWN: no store with this name is known or, for a query, was retired.
    - TOO_FEW: fewer than the configured number of stores would remain.
    - DOUBT: the result is unknown; the request may still take effect.
    - ROLLING_OUT: the store is retired but not yet replaced.
    - FINISHED: the store has been replaced and can be stopped.
    """

    OK = "ok"
    UNKNOWN = "unknown"
    TOO_FEW = "too_few"
    DOUBT = "doubt"
    ROLLING_OUT = "rolling_out"
    FINISHED = "finished"


StatusCallback = Callable[[RetirementStatus], None]


class _Call(PendingCall[RetirementStatus]):
    """A request or query about the store with the node name `name`."""

    __slots__ = ("name",)

    def __init__(self, name: str, due_ms: int, done: StatusCallback) -> None:
        super().__init__(due_ms, done)
        self.name = name


ReadCallback = Callable[[_Call, ChangeResult], None]


def _finish_in_doubt(call: _Call, reason: str) -> None:
    call.finish(RetirementStatus.DOUBT)


class Retirement(Component):
    """The component of a control node that retires stores and reports the progress.

    Parameters
    ----------
    owner
        Executes the operations on control keys, or forwards them to the owner of the key.
    membership
        Provides the live stores with their names and identities.
    config_feed
        Provides the retired machines that this node knows of.
    in_contact
        Returns whether this node is in contact with a majority of the voters.
    """

    __slots__ = (
        "_calls",
        "_config_feed",
        "_identities_by_name",
        "_in_contact",
        "_in_contact_since_ms",
        "_is_retiring_again",
        "_membership",
        "_next_check_ms",
        "_owner",
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
        # The identities of stores by node name, as last received.
        self._identities_by_name: dict[str, str] = {}
        self._is_retiring_again = False
        self._in_contact_since_ms = _NEVER_MS
        self._next_check_ms = _NEVER_MS

    def retire(self, name: str, done: StatusCallback) -> None:
        """Retire the store with this node name; idempotent.

        `done` gets OK, UNKNOWN, TOO_FEW or DOUBT within `control_call_timeout_ms`.
        """
        self._begin(name, done, self._retire_if_allowed)

    def progress(self, name: str, done: StatusCallback) -> None:
        """Report the progress of the retirement of the store with this node name.

        `done` gets ROLLING_OUT, FINISHED, UNKNOWN or DOUBT within `control_call_timeout_ms`.
        """
        self._begin(name, done, self._look_up_progress)

    def _begin(self, name: str, done: StatusCallback, on_read: ReadCallback) -> None:
        call = _Call(name, self.node.env.now() + self.node.settings.control_call_timeout_ms, done)
        if not self._in_contact():
            call.finish(RetirementStatus.DOUBT)
            return
        self._calls.add(call)
        self._read(RETIRED_KEY, call, on_read)

    def _read(self, key: str, call: _Call, on_read: ReadCallback) -> None:
        """Read a control key and pass the result to `on_read`, unless the call has finished."""

        def done(result: ChangeResult) -> None:
            if not call.is_open:
                return
            if result.outcome != Outcome.OK:
                call.finish(RetirementStatus.DOUBT)
            else:
                on_read(call, result)

        call.state = CallState.READING
        self._owner.submit(ReadKey(key=key, hops=0), done)

    def _look_up_progress(self, call: _Call, result: ChangeResult) -> None:
        identity = RetiredMachines.from_body(result.body).names.get(call.name)
        if identity is None:
            call.finish(RetirementStatus.UNKNOWN)
            return

        def on_log_read(call: _Call, result: ChangeResult) -> None:
            log = json.loads(result.body) if result.body else {}
            call.finish(self._progress(call.name, identity, log))

        self._read(LOG_KEY, call, on_log_read)

    def _progress(self, name: str, identity: str, log: dict[str, Any]) -> RetirementStatus:
        """Return whether a retirement is finished or still rolling out.

        The members of the previous list count as well: while the log recovers, the new members may
        still need the records of the previous ones.
        """
        members = {row["identity"] for row in (*log.get("members", ()), *log.get("prev", ()))}
        is_replaced = members.isdisjoint({identity, self._identities_by_name.get(name, identity)})
        serves = log.get("phase") == _LOG_SERVING and self._membership.is_live(log["holder"])
        return RetirementStatus.FINISHED if is_replaced and serves else RetirementStatus.ROLLING_OUT

    def _retire_if_allowed(self, call: _Call, result: ChangeResult) -> None:
        """Retire the store of a call, unless it is already retired or the request is refused."""
        retired = RetiredMachines.from_body(result.body)
        status = self._status_without_change(call.name, retired)
        if status is not None:
            call.finish(status)
            return
        identity = self._identities_by_name[call.name]
        self.node.env.log("store-retires", "WARNING", name=call.name, identity=identity)
        call.state = CallState.PROPOSING
        self._propose(
            result.version,
            retired.with_names({call.name: identity}),
            lambda result: self._on_proposed(call, result),
        )

    def _status_without_change(
        self, name: str, retired: RetiredMachines
    ) -> RetirementStatus | None:
        """Return the result of a request that changes nothing; None if it retires the store."""
        settings = self.node.settings
        identity = self._identities_by_name.get(name)
        if identity is None:
            if name in retired.names:
                return RetirementStatus.OK
            return self._refusal_or_doubt(RetirementStatus.UNKNOWN, settings.removal_timeout_ms)
        if identity in retired.identities and retired.names.get(name) == identity:
            return RetirementStatus.OK
        remaining = [
            info
            for info in self._membership.nodes_in_role("store", settings.failure_timeout_ms)
            if info.identity != identity and info.identity not in retired.identities
        ]
        if name not in retired.names and len(remaining) < settings.store_count:
            return self._refusal_or_doubt(RetirementStatus.TOO_FEW, settings.failure_timeout_ms)
        return None

    def _refusal_or_doubt(self, refusal: RetirementStatus, after_ms: int) -> RetirementStatus:
        """Return `refusal` once this node was in contact, unpaused, for `after_ms`; else DOUBT."""
        is_recent = self.node.env.now() - self._in_contact_since_ms < after_ms
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

    def _on_proposed(self, call: _Call, result: ChangeResult) -> None:
        if result.outcome == Outcome.OK:
            call.finish(RetirementStatus.OK)
        elif result.outcome == Outcome.LOST and call.is_open:
            self._read(RETIRED_KEY, call, self._retire_if_allowed)
        else:
            call.finish(RetirementStatus.DOUBT)

    def _retire_returned(self) -> None:
        """Also retire stores that returned under a retired name with another identity."""
        if (
            self._is_retiring_again
            or not self._in_contact()
            or self._owner.owner_of(RETIRED_KEY) != self._membership.identity
        ):
            return
        retired = RetiredMachines.from_value(self._config_feed.value(RETIRED_KEY))
        returned = {
            name: self._identities_by_name[name]
            for name, identity in retired.names.items()
            if self._identities_by_name.get(name, identity) != identity
        }
        if not returned:
            return
        self._is_retiring_again = True

        def done(result: ChangeResult) -> None:
            self._is_retiring_again = False

        self._propose(self._config_feed.version(RETIRED_KEY), retired.with_names(returned), done)

    def tick(self) -> None:
        """Record the names of live stores, retire returned ones, and finish overdue calls."""
        now_ms = self.node.env.now()
        if self._in_contact_since_ms < 0 or not self._in_contact():
            self._in_contact_since_ms = now_ms
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + self.node.settings.heartbeat_ms
            for info in self._membership.nodes_in_role(
                "store", self.node.settings.failure_timeout_ms
            ):
                self._identities_by_name[info.name] = info.identity
            self._retire_returned()
        self._calls.expire_due(now_ms)

    def resumed(self, gap_ms: int) -> None:
        """Restart the time for which this node has been in contact without a pause."""
        self._in_contact_since_ms = self.node.env.now()

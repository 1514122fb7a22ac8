"""Simulated operators, who change the profiles, sometimes concurrently.

Changes and their outcomes are recorded in the history.
"""

import json
from collections.abc import Callable
from typing import Any

from control_store import Change

from simulator.history import Row, RowKind

__all__ = ["BACKLOG_LIMIT", "Operators", "profiles_tree"]

BACKLOG_LIMIT = 3
"""The number of jobs that may wait on a path."""

_PROFILES_KEY = "profiles"
_DECIDED_OUTCOMES = ("ok", "lost")
_SEND_DELAY_MS = 1.0
_RESEND_MS = 100
_FINAL_ROUNDS = 4
_FINAL_ROUND_MS = 3000


def profiles_tree(change_id: str, backlog: int = BACKLOG_LIMIT) -> dict[str, Any]:
    """Return a profile tree with the id of its change; `backlog` jobs may wait on each path."""
    return {
        "profiles": {
            "base": {"abstract": True, "workers": {"labels": ["gpu"]}, "deadline_ms": 3000},
            "rulings": {"parent": "base", "deadline_ms": 2000},
            "narrations": {"parent": "base"},
            "moves": {"parent": "base", "repeatable": False},
            "summaries": {"parent": "base", "waiting_room": backlog},
            "claims": {"parent": "base", "waiting_room": backlog, "repeatable": False},
            f"mark-{change_id}": {"abstract": True},
        }
    }


class Operators:
    """All operators of a run; `extra_profiles` are added to every tree.

    `version` is the highest version that they know. `acknowledged` has the base version and body of
    each acknowledged change by its id.
    """

    __slots__ = (
        "_change_count",
        "_fleet",
        "_history",
        "_time",
        "acknowledged",
        "extra_profiles",
        "version",
    )

    def __init__(self, fleet: Any) -> None:
        self._fleet, self._time, self._history = fleet, fleet.time, fleet.history
        self._change_count = 0
        self.version = 0
        self.extra_profiles: dict[str, Any] = {}
        self.acknowledged: dict[str, tuple[int, str]] = {}

    def change(
        self,
        tries: int = 3,
        change_id: str = "",
        version: int | None = None,
        done: Callable[[Row], None] | None = None,
    ) -> None:
        """Send a change to a random running control node; do nothing if there is none.

        If a response says neither that the change is acknowledged nor that it is lost, the change
        is sent again under the same id, at most `tries` times in all. The base version is the
        highest known one unless `version` is given. `done` receives the row of each try that gets a
        response.
        """
        hosts = self._fleet.running("control")
        if not hosts:
            return
        host = self._time.rng.choice(hosts)
        if not change_id:
            self._change_count += 1
            change_id = f"change{self._change_count}"
        base_version = self.version if version is None else version
        row = self._history.add(
            RowKind.CHANGE,
            self._time.now_ms,
            change_id=change_id,
            base_version=base_version,
            outcome="none",
            version=0,
            answered_ms=0.0,
        )
        message = _change(change_id, base_version, self._body(change_id))
        incarnation = host.incarnation

        def resend() -> None:
            self.change(tries - 1, change_id, base_version, done)

        def answered(response: Any) -> None:
            if row["outcome"] != "none" or host.incarnation != incarnation or not host.up:
                return
            row.update(
                outcome=response.outcome, version=response.version, answered_ms=self._time.now_ms
            )
            if response.outcome in _DECIDED_OUTCOMES:
                self._record_response(message, response)
            elif tries > 1:
                self._time.after(_RESEND_MS, resend)
            if done is not None:
                done(row)

        def arrive() -> None:
            if host.up and host.incarnation == incarnation:
                host.when_awake(lambda: host.node.owner.submit(message, answered), incarnation)

        self._time.after(_SEND_DELAY_MS, arrive)

    def _body(self, change_id: str) -> str:
        tree = profiles_tree(change_id)
        tree["profiles"].update(self.extra_profiles)
        return json.dumps(tree, sort_keys=True)

    def _record_response(self, change: Change, response: Any) -> None:
        """Update the highest known version and the acknowledged changes from a response."""
        self.version = max(self.version, response.version)
        if response.outcome == "ok":
            self.acknowledged[change.change_id] = (change.version, change.body)

    def resend_acknowledged(self, count: int) -> None:
        """Send the last `count` acknowledged changes again under their ids.

        Decided outcomes are recorded for the oracle. Changes without one are sent up to 4 times,
        3 s apart.
        """
        changes = list(self.acknowledged.items())[-count:]
        unanswered = {change_id for change_id, _ in changes}
        for _ in range(_FINAL_ROUNDS):
            for change_id, (base_version, body) in changes:
                if change_id in unanswered:
                    self._resend(_change(change_id, base_version, body), unanswered)
            self._fleet.run_until_true(lambda: not unanswered, _FINAL_ROUND_MS)

    def _resend(self, change: Change, unanswered: set[str]) -> None:
        """Send an acknowledged change again; a decided outcome removes it from `unanswered`."""

        def answered(response: Any) -> None:
            if change.change_id in unanswered and response.outcome in _DECIDED_OUTCOMES:
                unanswered.discard(change.change_id)
                self._history.add(
                    RowKind.FINAL_CHANGE,
                    self._time.now_ms,
                    change_id=change.change_id,
                    outcome=response.outcome,
                    version=response.version,
                )

        host = self._time.rng.choice(self._fleet.running("control"))
        host.node.owner.submit(change, answered)


def _change(change_id: str, base_version: int, body: str) -> Change:
    return Change(key=_PROFILES_KEY, version=base_version, change_id=change_id, body=body, hops=0)

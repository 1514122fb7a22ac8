"""Simulated operators, who change the profiles, sometimes two at once.

What they see of their changes is recorded in the history.
"""

import json
from collections.abc import Callable
from typing import Any

from control_store import Change

from simulator.history import RowKind

__all__ = ["BACKLOG_LIMIT", "Operators", "profiles_tree"]

BACKLOG_LIMIT = 3
"""How many jobs may wait on a path."""


def profiles_tree(change_id: str, backlog: int = BACKLOG_LIMIT) -> dict[str, Any]:
    """Return a tree of profiles that names its change; `backlog` jobs may wait on each path."""
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
    """All operators of a run; `more` are further profiles that go into every tree.

    `version` is the highest that they know, `acked` the version and body of each change that was
    acknowledged.
    """

    __slots__ = ("_fleet", "_history", "_time", "acked", "changes", "more", "version")

    def __init__(self, fleet: Any) -> None:
        self._fleet, self._time, self._history = fleet, fleet.time, fleet.history
        self.changes = 0
        self.version = 0
        self.more: dict[str, Any] = {}
        self.acked: dict[str, tuple[int, str]] = {}

    def resend_acknowledged(self, count: int) -> None:
        """Send the last `count` acknowledged changes once more under their ids.

        The final answers are recorded for the oracle; rounds end when all are known.
        """
        rows = list(self.acked.items())[-count:]
        left = {change_id for change_id, _ in rows}

        def send(change_id: str, named: int, body: str) -> None:
            def told(receipt: Any) -> None:
                if change_id in left and receipt.outcome in ("ok", "lost"):
                    left.discard(change_id)
                    self._history.add(
                        RowKind.FINAL_CHANGE,
                        self._time.now_ms,
                        change_id=change_id,
                        outcome=receipt.outcome,
                        version=receipt.version,
                    )

            host = self._time.rng.choice(self._fleet.running("control"))
            host.node.owner.submit(
                Change(key="profiles", version=named, change_id=change_id, body=body, hops=0), told
            )

        for _ in range(4):
            for change_id, (named, body) in rows:
                if change_id in left:
                    send(change_id, named, body)
            self._fleet.run_until_true(lambda: not left, 3000)

    def change(
        self,
        tries: int = 3,
        change_id: str = "",
        version: int | None = None,
        done: Callable | None = None,
    ) -> None:
        """Send a change to a control node; a change in doubt is sent again up to `tries` times.

        It names the highest known version unless `version` is given; `done` gets the row.
        """
        hosts = self._fleet.running("control")
        if not hosts:
            return
        host = self._time.rng.choice(hosts)
        if not change_id:
            self.changes += 1
            change_id = f"change{self.changes}"
        named = self.version if version is None else version
        row = self._history.add(
            RowKind.CHANGE,
            self._time.now_ms,
            change_id=change_id,
            named=named,
            outcome="none",
            version=0,
            answered_ms=0.0,
        )
        tree = profiles_tree(change_id)
        tree["profiles"].update(self.more)
        body = json.dumps(tree, sort_keys=True)
        incarnation = host.incarnation

        def answered(receipt: Any) -> None:
            if row["outcome"] != "none" or host.incarnation != incarnation or not host.up:
                return
            row.update(
                outcome=receipt.outcome, version=receipt.version, answered_ms=self._time.now_ms
            )
            if receipt.outcome in ("ok", "lost"):
                self.version = max(self.version, receipt.version)
                if receipt.outcome == "ok":
                    self.acked[change_id] = (named, body)
            elif tries > 1:
                self._time.after(100, lambda: self.change(tries - 1, change_id, named, done))
            if done is not None:
                done(row)

        def begin() -> None:
            if host.up and host.incarnation == incarnation:
                host.when_awake(
                    lambda: host.node.owner.submit(
                        Change(
                            key="profiles", version=named, change_id=change_id, body=body, hops=0
                        ),
                        answered,
                    ),
                    incarnation,
                )

        self._time.after(1.0, begin)

"""The roster of edges and stores that are counted for a quorum, kept in a control key.

A majority of the roster decides whether a version is in force, and whether an edge without control
may go on serving. The coordinator changes the roster by one address at a time, and only once a
majority of the present roster has the present roster. So the two sides of a network partition never
both have a majority, however many machines join and leave meanwhile. With cut_off = "serve" nobody
is counted and there is no roster.
"""

import json
from typing import Any

from config_feed import ConfigFeed
from config_feed.version_tracker import LEAST, ROLL_KEY
from messaging import Component

from control_store.key_owner import KeyOwner
from control_store.messages import Change, ReadKey

__all__ = ["ServingSet"]


class ServingSet(Component):
    """Keeps the roster in step with the edges and stores that are live.

    `steward` returns whether this node is the coordinator of membership changes.
    """

    __slots__ = ("_busy", "_config_feed", "_next_ms", "_owner", "_steward")

    def __init__(self, owner: KeyOwner, config_feed: ConfigFeed, steward: Any) -> None:
        self._owner = owner
        self._config_feed = config_feed
        self._steward = steward
        self._busy = False
        self._next_ms = -1

    def tick(self) -> None:
        """Propose the next roster if this node is the coordinator and a change is due."""
        if self.node.settings.cut_off == "serve":
            return
        now_ms = self.node.env.now()
        if self._next_ms < 0:
            self._next_ms = now_ms + self.node.settings.failure_timeout_ms
        if now_ms < self._next_ms or self._busy:
            return
        self._next_ms = now_ms + self.node.settings.heartbeat_ms
        if not self._steward():
            return
        links = self._following()
        if links is not None:
            self._change(links)

    def _following(self) -> list[str] | None:
        settings, config_feed = self.node.settings, self._config_feed
        held = config_feed.roll()
        heard = config_feed.heard_links(settings.failure_timeout_ms)
        if not held:
            return sorted(heard) or None
        fresh = sorted(heard - held)[:1]
        gone = (
            sorted(held - config_feed.heard_links(settings.removal_timeout_ms))[:1]
            if config_feed.listened(settings.removal_timeout_ms)
            else []
        )
        if not config_feed.binding:
            return self._begun(held, heard, fresh, gone)
        if not config_feed.most_confirm(
            ROLL_KEY, config_feed.number(ROLL_KEY), settings.confirmation_timeout_ms
        ):
            return None
        if fresh:
            return sorted({*held, *fresh})
        return sorted(held - set(gone)) if gone and len(held) > LEAST else None

    def _begun(
        self, held: frozenset[str], heard: set[str], fresh: list[str], gone: list[str]
    ) -> list[str] | None:
        """Return the next roster while it is too small to be binding, or None.

        Silent machines are dropped freely; it grows only if a majority of the result is live.
        """
        if gone:
            return sorted(held - set(gone))
        wider = {*held, *fresh}
        return sorted(wider) if fresh and 2 * len(wider & heard) > len(wider) else None

    def forget(self, links: list[str], done: Any) -> None:
        """Remove machines that an operator declares lost, whatever the roster's majority reports.

        `done` gets the `Changed` reply of the owner.
        """

        def told(receipt: Any) -> None:
            held = json.loads(receipt.body)["links"] if receipt.body else []
            if receipt.outcome != "ok" or not set(links) & set(held):
                done(receipt)
                return
            self._owner.submit(
                Change(
                    key=ROLL_KEY,
                    version=receipt.version,
                    change_id=self.node.env.token(),
                    hops=0,
                    body=json.dumps({"links": sorted(set(held) - set(links))}, sort_keys=True),
                ),
                done,
            )

        self._owner.submit(ReadKey(key=ROLL_KEY, hops=0), told)

    def _change(self, links: list[str]) -> None:
        """Propose the roster `links`."""
        self._busy = True
        env = self.node.env

        def changed(receipt: Any) -> None:
            self._busy = False

        env.log("roll-changing", links=links)
        self._owner.submit(
            Change(
                key=ROLL_KEY,
                version=self._config_feed.number(ROLL_KEY),
                change_id=env.token(),
                hops=0,
                body=json.dumps({"links": links}, sort_keys=True),
            ),
            changed,
        )

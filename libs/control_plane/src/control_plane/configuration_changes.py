"""Changes of the tree by callers who number their trees themselves (`about.revision`).

A change names the revision that it is based on. The key is read through a quorum. A change based on
the revision in force is proposed under the key's own version, so that of two changes on one base
only one is decided. A change on another base is only looked up, since it may be a retry of one
decided before. Every caller is answered within answer_ms, if need be that the outcome is not known,
or that the change is older than what is remembered.
"""

import json
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from control_store import (
    NO_BASE,
    Change,
    ChangeResult,
    FindChange,
    KeyOwner,
    Outcome,
    ReadKey,
    check_tree,
)
from expression import Result
from messaging import Component

__all__ = ["PROFILES_KEY", "Order", "Taken", "ConfigurationChanges", "ConfigurationOutcome"]

PROFILES_KEY = "profiles"
Make = Callable[[dict[str, Any]], Result[dict[str, Any], list[dict[str, str]]]]


class Taken(StrEnum):
    """What became of an order.

    - TAKEN: the change is in force.
    - REPLACED: another change was decided instead; this one never will be.
    - INVALID: the tree was not valid; nothing was changed.
    - REFUSED: nothing was proposed here.
    - DOUBT: not known; the change may still be decided.
    - FORGOTTEN: not known; it may have been decided longer ago than is remembered.
    """

    TAKEN = "taken"
    REPLACED = "replaced"
    INVALID = "invalid"
    REFUSED = "refused"
    DOUBT = "doubt"
    FORGOTTEN = "forgotten"


class Order:
    """A change of the tree as its caller asks for it.

    `base` is the revision that it is based on, and `revision` the one that it makes (NO_BASE if
    that cannot be read). `change_id` identifies the order when it is sent again. `make` returns the
    wanted tree for the tree in force, or the problems with what was sent.
    """

    __slots__ = ("base", "change_id", "make", "revision")

    def __init__(self, base: int, revision: int, change_id: str, make: Make) -> None:
        self.base = base
        self.revision = revision
        self.change_id = change_id
        self.make = make


class ConfigurationOutcome:
    """The answer to an order or a read; `tree` is set for a read that was answered."""

    __slots__ = ("kind", "problems", "reason", "tree")

    def __init__(
        self,
        kind: Taken,
        reason: str = "",
        problems: list[dict[str, str]] | None = None,
        tree: dict[str, Any] | None = None,
    ) -> None:
        self.kind = kind
        self.reason = reason
        self.problems = problems or []
        self.tree = tree


Done = Callable[[ConfigurationOutcome], None]


class _Call:
    """An order, or a read if there is none, that waits for its answer until `due_ms`."""

    __slots__ = ("done", "due_ms", "order", "sent")

    def __init__(self, order: Order | None, due_ms: int, done: Done) -> None:
        self.order = order
        self.due_ms = due_ms
        self.done: Done | None = done
        self.sent = False

    def finish(self, outcome: ConfigurationOutcome) -> None:
        """Call `done` with the outcome, at most once."""
        done, self.done = self.done, None
        if done is not None:
            done(outcome)


def _revision_of(tree: dict[str, Any]) -> int:
    return tree.get("about", {}).get("revision", 0)


class ConfigurationChanges(Component):
    """Proposes, looks up and reads trees at a control node.

    `sure` returns whether this node is in contact with a majority of the voters.
    """

    __slots__ = ("_calls", "_owner", "_sure")

    def __init__(self, owner: KeyOwner, sure: Callable[[], bool]) -> None:
        """Create the part; `owner` executes its operations or forwards them."""
        self._owner = owner
        self._sure = sure
        self._calls: list[_Call] = []

    # -- calls ---------------------------------------------------------------------------------

    def change(self, order: Order, done: Done) -> None:
        """Bring about an order; `done` gets its outcome within answer_ms."""
        self._begin(_Call(order, 0, done))

    def read(self, done: Done) -> None:
        """Read the tree in force; `done` gets it, or why it could not be read, within answer_ms."""
        self._begin(_Call(None, 0, done))

    def _begin(self, call: _Call) -> None:
        if not self._sure():
            call.finish(
                ConfigurationOutcome(Taken.REFUSED, "this node hears no majority of the voters")
            )
            return
        call.due_ms = self.node.env.now() + self.node.settings.answer_ms
        self._calls.append(call)
        self._read(call)

    def _read(self, call: _Call) -> None:
        self._owner.submit(
            ReadKey(key=PROFILES_KEY, hops=0), lambda receipt: self._have_read(call, receipt)
        )

    def _have_read(self, call: _Call, receipt: ChangeResult) -> None:
        if call.done is None:
            return
        if receipt.outcome != Outcome.OK:
            self._unknown(call, receipt.reason)
            return
        tree = json.loads(receipt.body) if receipt.body else {}
        if call.order is None:
            call.finish(ConfigurationOutcome(Taken.TAKEN, tree=tree))
        elif _revision_of(tree) != call.order.base:
            self._find(call, tree)
        else:
            self._propose(call, receipt.version, tree)

    # -- proposing and looking up --------------------------------------------------------------

    def _propose(self, call: _Call, version: int, tree: dict[str, Any]) -> None:
        made = call.order.make(tree)
        if made.is_ok():
            made = check_tree(made.ok, tree.get("profiles"))
        if made.is_error():
            call.finish(
                ConfigurationOutcome(
                    Taken.INVALID, f"{len(made.error)} problems; nothing was changed", made.error
                )
            )
        elif _revision_of(made.ok) <= call.order.base:
            call.finish(
                ConfigurationOutcome(
                    Taken.INVALID,
                    "nothing was changed",
                    [
                        {
                            "at": "about.revision",
                            "message": f"has to be above {call.order.base}, the one in force",
                        }
                    ],
                )
            )
        else:
            call.sent = True
            change = Change(
                key=PROFILES_KEY,
                version=version,
                change_id=call.order.change_id,
                body=json.dumps(made.ok, sort_keys=True),
                hops=0,
                base=call.order.base,
            )
            self._owner.submit(change, lambda found: self._changed(call, found))

    def _find(self, call: _Call, tree: dict[str, Any]) -> None:
        order = call.order
        question = FindChange(
            key=PROFILES_KEY,
            change_id=order.change_id,
            version=NO_BASE,
            base=order.base,
            number=order.revision,
            hops=0,
        )
        self._owner.submit(question, lambda found: self._found(call, tree, found))

    def _changed(self, call: _Call, receipt: ChangeResult) -> None:
        if receipt.outcome == Outcome.OK:
            call.finish(ConfigurationOutcome(Taken.TAKEN))
        elif receipt.outcome == Outcome.LOST and call.done is not None:
            self._read(call)
        else:
            self._unknown(call, receipt.reason)

    def _found(self, call: _Call, tree: dict[str, Any], receipt: ChangeResult) -> None:
        if receipt.outcome == Outcome.OK:
            call.finish(ConfigurationOutcome(Taken.TAKEN))
        elif receipt.outcome == Outcome.LOST:
            call.finish(
                ConfigurationOutcome(
                    Taken.REPLACED,
                    f"revision {_revision_of(tree)} is in force; "
                    "this change is not and will not be",
                )
            )
        elif receipt.outcome == Outcome.FORGOTTEN:
            call.finish(ConfigurationOutcome(Taken.FORGOTTEN, receipt.reason))
        else:
            self._unknown(call, receipt.reason)

    def _unknown(self, call: _Call, reason: str) -> None:
        call.finish(ConfigurationOutcome(Taken.DOUBT if call.sent else Taken.REFUSED, reason))

    def tick(self) -> None:
        """Answer overdue calls."""
        now_ms = self.node.env.now()
        for call in self._calls:
            if now_ms >= call.due_ms:
                self._unknown(call, "no answer in time")
        self._calls = [call for call in self._calls if call.done is not None]

    def resumed(self, gap_ms: int) -> None:
        """Answer all waiting calls after a pause of the process."""
        for call in self._calls:
            self._unknown(call, "this node was frozen")
        self._calls = []

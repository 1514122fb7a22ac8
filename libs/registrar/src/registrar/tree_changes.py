"""Changes of the tree by callers who number their trees themselves (`about.revision`) and name the revision
that a change builds on. The key is read by a majority; a change on the revision in force goes to the key's
owner under the key's own number, so of two on one base one wins; a change that names another base is asked
for by its id alone, since it may be one taken before. Whoever waits hears in time, if need be that it is
not known what becomes of it.
"""

import json
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from catalogue import Change, Changed, Owner, ReadKey, check_tree
from expression import Result
from vellum import Part

__all__ = ["PROFILES_KEY", "Taken", "TreeChanges", "TreeOutcome"]

PROFILES_KEY = "profiles"
_NO_VERSION = -1
Make = Callable[[dict[str, Any]], Result[dict[str, Any], list[dict[str, str]]]]


class Taken(StrEnum):
    TAKEN = "taken"
    REPLACED = "replaced"
    INVALID = "invalid"
    REFUSED = "refused"
    DOUBT = "doubt"


class TreeOutcome:
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


Done = Callable[[TreeOutcome], None]


class _Call:
    __slots__ = ("base", "change_id", "done", "due_ms", "make", "sent")

    def __init__(
        self, base: int, change_id: str, make: Make | None, due_ms: int, done: Done
    ) -> None:
        self.base, self.change_id, self.make, self.due_ms = base, change_id, make, due_ms
        self.done: Done | None = done
        self.sent = False

    def finish(self, outcome: TreeOutcome) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(outcome)


def revision_of(tree: dict[str, Any]) -> int:
    return tree.get("about", {}).get("revision", 0)


class TreeChanges(Part):
    __slots__ = ("_calls", "_owner", "_sure")

    def __init__(self, owner: Owner, sure: Callable[[], bool]) -> None:
        """`sure` says whether this node hears a majority of the voters."""
        self._owner = owner
        self._sure = sure
        self._calls: list[_Call] = []

    # -- asking --------------------------------------------------------------------------------

    def change(self, base: int, change_id: str, make: Make, done: Done) -> None:
        """`make` gives the tree wanted from the tree in force, or the problems with what was sent."""
        self._begin(_Call(base, change_id, make, 0, done))

    def read(self, done: Done) -> None:
        self._begin(_Call(0, "", None, 0, done))

    def _begin(self, call: _Call) -> None:
        if not self._sure():
            call.finish(TreeOutcome(Taken.REFUSED, "this node hears no majority of the voters"))
            return
        call.due_ms = self.node.env.now() + self.node.params.answer_ms
        self._calls.append(call)
        self._read(call)

    def _read(self, call: _Call) -> None:
        self._owner.submit(
            ReadKey(key=PROFILES_KEY, hops=0), lambda receipt: self._have_read(call, receipt)
        )

    def _have_read(self, call: _Call, receipt: Changed) -> None:
        if call.done is None:
            return
        if receipt.outcome != "ok":
            self._unknown(call, receipt.reason)
            return
        tree = json.loads(receipt.body) if receipt.body else {}
        if call.make is None:
            call.finish(TreeOutcome(Taken.TAKEN, tree=tree))
        elif revision_of(tree) != call.base:
            self._submit(call, _NO_VERSION, "", lambda found: self._probed(call, tree, found))
        else:
            self._propose(call, receipt.version, tree)

    # -- deciding ------------------------------------------------------------------------------

    def _propose(self, call: _Call, version: int, tree: dict[str, Any]) -> None:
        made = call.make(tree)
        if made.is_ok():
            made = check_tree(made.ok, tree.get("profiles"))
        if made.is_error():
            call.finish(
                TreeOutcome(
                    Taken.INVALID, f"{len(made.error)} problems; nothing was changed", made.error
                )
            )
        elif revision_of(made.ok) <= call.base:
            call.finish(
                TreeOutcome(
                    Taken.INVALID,
                    "nothing was changed",
                    [
                        {
                            "at": "about.revision",
                            "message": f"has to be above {call.base}, the one in force",
                        }
                    ],
                )
            )
        else:
            call.sent = True
            self._submit(
                call,
                version,
                json.dumps(made.ok, sort_keys=True),
                lambda found: self._changed(call, found),
            )

    def _submit(
        self, call: _Call, version: int, body: str, done: Callable[[Changed], None]
    ) -> None:
        self._owner.submit(
            Change(key=PROFILES_KEY, version=version, change_id=call.change_id, body=body, hops=0),
            done,
        )

    def _changed(self, call: _Call, receipt: Changed) -> None:
        if receipt.outcome == "ok":
            call.finish(TreeOutcome(Taken.TAKEN))
        elif receipt.outcome == "lost" and call.done is not None:
            self._read(call)
        else:
            self._unknown(call, receipt.reason)

    def _probed(self, call: _Call, tree: dict[str, Any], receipt: Changed) -> None:
        if receipt.outcome == "ok":
            call.finish(TreeOutcome(Taken.TAKEN))
        elif receipt.outcome == "lost":
            call.finish(
                TreeOutcome(
                    Taken.REPLACED,
                    f"revision {revision_of(tree)} is in force; this change is not and will not be",
                )
            )
        else:
            self._unknown(call, receipt.reason)

    def _unknown(self, call: _Call, reason: str) -> None:
        call.finish(TreeOutcome(Taken.DOUBT if call.sent else Taken.REFUSED, reason))

    def tick(self) -> None:
        now_ms = self.node.env.now()
        for call in self._calls:
            if now_ms >= call.due_ms:
                self._unknown(call, "no answer in time")
        self._calls = [call for call in self._calls if call.done is not None]

    def woke(self, gap_ms: int) -> None:
        for call in self._calls:
            self._unknown(call, "this node was frozen")
        self._calls = []

"""Changes of the configuration by callers that assign its revision numbers (`about.revision`).

The configuration is the value of the control key `profiles`: the tree of profiles, and under
`about` the caller's metadata. A change names the revision that it is based on, its base. The key is
first read through a quorum. Invariants:

- A change based on the revision in force is proposed with the version of the key that was read, so
  that only one of two changes with the same base is decided.
- A change with any other base is never proposed. It is only looked up, since it may be a retry of a
  change that was decided before.
- Every caller gets a result within `control_call_timeout_ms`; the result may be that the outcome is
  unknown.
"""

import json
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from capacity_sharing.pending_calls import CallState, PendingCall, PendingCalls
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
from data_plane.control_keys import PROFILES_KEY
from messaging import Component

__all__ = [
    "ConfigurationChange",
    "ConfigurationChanges",
    "ConfigurationResult",
    "ConfigurationStatus",
    "MakeConfiguration",
]

Configuration = dict[str, Any]
Problem = dict[str, str]
MakeConfiguration = Callable[[Configuration], Configuration]


class ConfigurationStatus(StrEnum):
    """The result of a change or a read of the configuration.

    - APPLIED: the change is in force, or the configuration was read.
    - REPLACED: another change was decided instead; this one will never be.
    - INVALID: the new configuration is not valid; nothing was changed.
    - REFUSED: this node proposed nothing.
    - DOUBT: unknown; the change may still be decided.
    - FORGOTTEN: unknown; the change may have been decided so long ago that no record of it is kept.
    """

    APPLIED = "taken"
    REPLACED = "replaced"
    INVALID = "invalid"
    REFUSED = "refused"
    DOUBT = "doubt"
    FORGOTTEN = "forgotten"


class ConfigurationChange:
    """A change of the configuration, as requested by a caller.

    Parameters
    ----------
    base
        The revision that the change is based on.
    revision
        The revision that the change creates.
    change_id
        Identifies the change when it is sent again.
    make
        Returns the new configuration for the one in force, which remains to be checked. It runs on
        the node's thread, where an error ends the process, so the caller parses what it was sent
        beforehand.
    """

    __slots__ = ("base", "change_id", "make", "revision")

    def __init__(self, base: int, revision: int, change_id: str, make: MakeConfiguration) -> None:
        self.base = base
        self.revision = revision
        self.change_id = change_id
        self.make = make


class ConfigurationResult:
    """The result of a change or a read; `configuration` is None unless a read succeeded."""

    __slots__ = ("configuration", "problems", "reason", "status")

    def __init__(
        self,
        status: ConfigurationStatus,
        reason: str = "",
        problems: list[Problem] | None = None,
        configuration: Configuration | None = None,
    ) -> None:
        self.status = status
        self.reason = reason
        self.problems = problems or []
        self.configuration = configuration


ResultCallback = Callable[[ConfigurationResult], None]


class _ReadCall(PendingCall[ConfigurationResult]):
    """A read of the configuration in force."""

    __slots__ = ()


class _ChangeCall(PendingCall[ConfigurationResult]):
    """A change that waits for its result; `was_proposed` remains set when it is retried."""

    __slots__ = ("change", "was_proposed")

    def __init__(self, change: ConfigurationChange, due_ms: int, done: ResultCallback) -> None:
        super().__init__(due_ms, done)
        self.change = change
        self.was_proposed = False


_Call = _ReadCall | _ChangeCall


def _revision_of(configuration: Configuration) -> int:
    revision: int = configuration.get("about", {}).get("revision", 0)
    return revision


def _finish_unknown(call: _Call, reason: str) -> None:
    """Finish a call without a decision: in doubt if it was proposed, refused if it was not."""
    proposed = isinstance(call, _ChangeCall) and call.was_proposed
    status = ConfigurationStatus.DOUBT if proposed else ConfigurationStatus.REFUSED
    call.finish(ConfigurationResult(status, reason))


class ConfigurationChanges(Component):
    """The component of a control node that reads and changes the configuration for callers.

    Parameters
    ----------
    owner
        Executes the operations on the control key, or forwards them to the owner of the key.
    in_contact
        Returns whether this node is in contact with a majority of the voters.
    """

    __slots__ = ("_calls", "_in_contact", "_owner")

    def __init__(self, owner: KeyOwner, in_contact: Callable[[], bool]) -> None:
        self._owner = owner
        self._in_contact = in_contact
        self._calls: PendingCalls[_Call] = PendingCalls(_finish_unknown)

    def change(self, change: ConfigurationChange, done: ResultCallback) -> None:
        """Change the configuration; `done` gets the result within `control_call_timeout_ms`."""
        self._begin(_ChangeCall(change, self._due_ms(), done))

    def read(self, done: ResultCallback) -> None:
        """Read the configuration in force.

        `done` gets the result within `control_call_timeout_ms`.
        """
        self._begin(_ReadCall(self._due_ms(), done))

    def _due_ms(self) -> int:
        due_ms: int = self.node.env.now() + self.node.settings.control_call_timeout_ms
        return due_ms

    def _begin(self, call: _Call) -> None:
        if not self._in_contact():
            _finish_unknown(call, "this node hears no majority of the voters")
            return
        self._calls.add(call)
        self._read(call)

    def _read(self, call: _Call) -> None:
        call.state = CallState.READING
        self._owner.submit(
            ReadKey(key=PROFILES_KEY, hops=0), lambda result: self._on_read(call, result)
        )

    def _on_read(self, call: _Call, result: ChangeResult) -> None:
        if not call.is_open:
            return
        if result.outcome != Outcome.OK:
            _finish_unknown(call, result.reason)
            return
        configuration = json.loads(result.body) if result.body else {}
        if isinstance(call, _ReadCall):
            call.finish(
                ConfigurationResult(ConfigurationStatus.APPLIED, configuration=configuration)
            )
        elif _revision_of(configuration) != call.change.base:
            self._look_up(call, configuration)
        else:
            self._make(call, result.version, configuration)

    def _look_up(self, call: _ChangeCall, in_force: Configuration) -> None:
        call.state = CallState.LOOKING_UP
        query = FindChange(
            key=PROFILES_KEY,
            change_id=call.change.change_id,
            version=NO_BASE,
            base=call.change.base,
            number=call.change.revision,
            hops=0,
        )
        self._owner.submit(query, lambda result: self._on_looked_up(call, in_force, result))

    def _on_looked_up(
        self, call: _ChangeCall, in_force: Configuration, result: ChangeResult
    ) -> None:
        if result.outcome == Outcome.OK:
            call.finish(ConfigurationResult(ConfigurationStatus.APPLIED))
        elif result.outcome == Outcome.LOST:
            call.finish(
                ConfigurationResult(
                    ConfigurationStatus.REPLACED,
                    f"revision {_revision_of(in_force)} is in force; "
                    "this change is not and will not be",
                )
            )
        elif result.outcome == Outcome.FORGOTTEN:
            call.finish(ConfigurationResult(ConfigurationStatus.FORGOTTEN, result.reason))
        else:
            _finish_unknown(call, result.reason)

    def _make(self, call: _ChangeCall, version: int, in_force: Configuration) -> None:
        """Make the new configuration, and propose it if it is valid."""
        made = check_tree(call.change.make(in_force), in_force.get("profiles"))
        if made.is_error():
            reason = f"{len(made.error)} problems; nothing was changed"
            call.finish(ConfigurationResult(ConfigurationStatus.INVALID, reason, made.error))
        elif _revision_of(made.ok) <= call.change.base:
            problem = {
                "at": "about.revision",
                "message": f"has to be above {call.change.base}, the one in force",
            }
            call.finish(
                ConfigurationResult(ConfigurationStatus.INVALID, "nothing was changed", [problem])
            )
        else:
            self._propose(call, version, made.ok)

    def _propose(self, call: _ChangeCall, version: int, configuration: Configuration) -> None:
        call.state = CallState.PROPOSING
        call.was_proposed = True
        change = Change(
            key=PROFILES_KEY,
            version=version,
            change_id=call.change.change_id,
            body=json.dumps(configuration, sort_keys=True),
            hops=0,
            base=call.change.base,
        )
        self._owner.submit(change, lambda result: self._on_proposed(call, result))

    def _on_proposed(self, call: _ChangeCall, result: ChangeResult) -> None:
        if result.outcome == Outcome.OK:
            call.finish(ConfigurationResult(ConfigurationStatus.APPLIED))
        elif result.outcome == Outcome.LOST and call.is_open:
            self._read(call)
        else:
            _finish_unknown(call, result.reason)

    def tick(self) -> None:
        """Finish the calls that have reached their time limit."""
        self._calls.expire_due(self.node.env.now())

    def resumed(self, gap_ms: int) -> None:
        """Finish all calls after a pause of the process, since replies may have been missed."""
        self._calls.expire_all("this node was frozen")

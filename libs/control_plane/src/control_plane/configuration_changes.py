"""Changes of the configuration by callers who number its revisions themselves (`about.revision`).

The configuration is the value of the control key `profiles`: the tree of profiles, and what the
caller says about it. A change names the revision that it is based on, its base. The key is read
through a quorum first. Invariants:

- A change of the revision in force is proposed under the key's own version, so that of two changes
  of one base only one is decided.
- A change of another base is never proposed. It is only looked up, since it may be a retry of a
  change that was decided before.
- Every caller has its result within `control_call_timeout_ms`, if need be that the outcome is not
  known.
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
from expression import Result
from messaging import Component

__all__ = [
    "ConfigurationChange",
    "ConfigurationChanges",
    "ConfigurationResult",
    "ConfigurationStatus",
]

Configuration = dict[str, Any]
Problem = dict[str, str]
MakeConfiguration = Callable[[Configuration], Result[Configuration, list[Problem]]]


class ConfigurationStatus(StrEnum):
    """What became of a change or a read of the configuration.

    - APPLIED: the change is in force, or the configuration was read.
    - REPLACED: another change was decided instead; this one never will be.
    - INVALID: the new configuration is not valid; nothing was changed.
    - REFUSED: nothing was proposed here.
    - DOUBT: not known; the change may still be decided.
    - FORGOTTEN: not known; the change may have been decided longer ago than is remembered.
    """

    APPLIED = "taken"
    REPLACED = "replaced"
    INVALID = "invalid"
    REFUSED = "refused"
    DOUBT = "doubt"
    FORGOTTEN = "forgotten"


class ConfigurationChange:
    """A change of the configuration as its caller requests it.

    `base` is the revision that it is based on, and `revision` the one that it makes (NO_BASE if
    that cannot be read). `change_id` identifies the change when it is sent again. `make` returns
    the new configuration for the one in force, or the problems with what was sent; a problem has
    the members `at` and `message`.
    """

    __slots__ = ("base", "change_id", "make", "revision")

    def __init__(self, base: int, revision: int, change_id: str, make: MakeConfiguration) -> None:
        self.base = base
        self.revision = revision
        self.change_id = change_id
        self.make = make


class ConfigurationResult:
    """The result of a change or a read; `configuration` is None unless it was read."""

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


Done = Callable[[ConfigurationResult], None]


class _ReadCall(PendingCall[ConfigurationResult]):
    """A read of the configuration in force."""

    __slots__ = ()


class _ChangeCall(PendingCall[ConfigurationResult]):
    """A change that waits for its result; `was_proposed` stays set while it is tried again."""

    __slots__ = ("change", "was_proposed")

    def __init__(self, change: ConfigurationChange, due_ms: int, done: Done) -> None:
        super().__init__(due_ms, done)
        self.change = change
        self.was_proposed = False


_Call = _ReadCall | _ChangeCall


def _revision_of(configuration: Configuration) -> int:
    revision: int = configuration.get("about", {}).get("revision", 0)
    return revision


def _finish_unknown(call: _Call, reason: str) -> None:
    """Finish a call without a decision: in doubt once it was proposed, refused before that."""
    proposed = isinstance(call, _ChangeCall) and call.was_proposed
    status = ConfigurationStatus.DOUBT if proposed else ConfigurationStatus.REFUSED
    call.finish(ConfigurationResult(status, reason))


class ConfigurationChanges(Component):
    """The component of a control node that reads, proposes and looks up configurations.

    `in_contact` returns whether this node hears a majority of the voters.
    """

    __slots__ = ("_calls", "_in_contact", "_owner")

    def __init__(self, owner: KeyOwner, in_contact: Callable[[], bool]) -> None:
        """Create the component; `owner` executes its operations or forwards them."""
        self._owner = owner
        self._in_contact = in_contact
        self._calls: PendingCalls[_Call] = PendingCalls(_finish_unknown)

    # -- calls ---------------------------------------------------------------------------------

    def change(self, change: ConfigurationChange, done: Done) -> None:
        """Make a change; `done` gets its result within `control_call_timeout_ms`."""
        self._begin(_ChangeCall(change, self._due_ms(), done))

    def read(self, done: Done) -> None:
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

    # -- reading -------------------------------------------------------------------------------

    def _read(self, call: _Call) -> None:
        call.state = CallState.READING
        self._owner.submit(
            ReadKey(key=PROFILES_KEY, hops=0), lambda result: self._have_read(call, result)
        )

    def _have_read(self, call: _Call, result: ChangeResult) -> None:
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

    # -- looking up ----------------------------------------------------------------------------

    def _look_up(self, call: _ChangeCall, in_force: Configuration) -> None:
        call.state = CallState.LOOKING_UP
        question = FindChange(
            key=PROFILES_KEY,
            change_id=call.change.change_id,
            version=NO_BASE,
            base=call.change.base,
            number=call.change.revision,
            hops=0,
        )
        self._owner.submit(question, lambda result: self._looked_up(call, in_force, result))

    def _looked_up(self, call: _ChangeCall, in_force: Configuration, result: ChangeResult) -> None:
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

    # -- proposing -----------------------------------------------------------------------------

    def _make(self, call: _ChangeCall, version: int, in_force: Configuration) -> None:
        """Make the new configuration, and propose it if it is valid."""
        made = call.change.make(in_force)
        if made.is_ok():
            made = check_tree(made.ok, in_force.get("profiles"))
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
        self._owner.submit(change, lambda result: self._proposed(call, result))

    def _proposed(self, call: _ChangeCall, result: ChangeResult) -> None:
        if result.outcome == Outcome.OK:
            call.finish(ConfigurationResult(ConfigurationStatus.APPLIED))
        elif result.outcome == Outcome.LOST and call.is_open:
            self._read(call)
        else:
            _finish_unknown(call, result.reason)

    # -- time ----------------------------------------------------------------------------------

    def tick(self) -> None:
        """Finish the calls whose time is over."""
        self._calls.expire_due(self.node.env.now())

    def resumed(self, gap_ms: int) -> None:
        """Finish all calls after a pause of the process."""
        self._calls.expire_all("this node was frozen")

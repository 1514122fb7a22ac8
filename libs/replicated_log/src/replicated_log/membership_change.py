"""One change of the list of members by a serving holder, within its epoch.

Nothing is recovered from the members before, since the holder has the whole log. The control key is
changed only once f+1 of the following members have on disk all that was acknowledged without them.
Until the outcome is known, an acknowledged record is on a quorum of both lists.
"""

from typing import Any

__all__ = ["MembershipChange"]


class MembershipChange:
    """A change under way; `store` is the serving StoreLog, `following` the rows of the new list."""

    __slots__ = ("_began_ms", "_following", "_store", "_version")

    def __init__(self, store: Any, following: list[dict[str, str]]) -> None:
        self._store = store
        self._following = following
        self._version = -1
        self._began_ms = store.node.env.now()
        store.leader.begin_change([row["identity"] for row in following])

    def tick(self) -> bool:
        """Take the next step and return whether the change has been made or given up.

        A change whose outcome isn't known is requested again until it is, as it may yet be decided.
        """
        store = self._store
        if store.value["members"] == self._following and store.value["epoch"] == store.leader.epoch:
            self._end(True)
            return True
        if self._version >= 0:
            if store.version != self._version:
                self._end(False)
                return True
            self._ask()
            return False
        if store.leader.is_change_ready():
            self._version = store.version
            self._ask()
            return False
        if store.node.env.now() - self._began_ms > store.node.settings.force_ms:
            self._end(False)
            return True
        return False

    def _ask(self) -> None:
        if not self._store.changing:
            body = {**self._store.value, "members": self._following, "prev": self._following}
            self._store.change(body, self._asked)

    def _asked(self, outcome: str) -> None:
        if (
            self._store.leader is not None
            and self._store.leader.epoch == self._store.value["epoch"]
        ):
            self._store.on_change_answered()

    def _end(self, made: bool) -> None:
        store = self._store
        store.leader.end_change(made)
        names = sorted(row["identity"] for row in store.value["members"])
        store.node.env.log(
            "members-changed" if made else "members-change-given-back",
            "WARNING",
            members=names,
            epoch=store.leader.epoch,
            took_ms=store.node.env.now() - self._began_ms,
        )

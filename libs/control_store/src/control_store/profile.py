"""Profiles with their inherited and default values filled in, in the form that nodes use."""

from typing import Any

from control_store.profile_defaults import DEFAULTS
from control_store.routes import WeightedSplit

__all__ = ["Profile"]

_DERIVED_FIELDS = ("workers", "path", "match", "shares", "give_up_ms", "rank", "source")
_COPIED_FIELDS = tuple(key for key in DEFAULTS if key not in _DERIVED_FIELDS)


class Profile:
    """A profile with its inherited and default values filled in.

    Fields whose names end in `_ms` are in milliseconds; `live_share`, `lot_share` and `loan_share`
    are fractions from 0 to 1. `host` and `prefix` are empty unless the profile is a route.

    Parameters
    ----------
    name
        The name of the profile.
    values
        A value for each field of DEFAULTS.
    split
        For a profile with `shares`: the choice between the labels of the services that they name.
    """

    abstract: bool
    attempts: int
    cache_tokens: int
    connections: int
    deadline_ms: int
    due_ms: int
    health_path: str
    keep_ms: int
    kind: str
    live_share: float
    loan_share: float
    lot_share: float
    models: list[dict[str, Any]]
    repeatable: bool
    resumable: bool
    retry_budget: float
    rollout_room: int
    slots: int
    sticky: bool
    stride_tokens: int
    target_ms: int
    token_gap_ms: int
    urgency: int
    waiting_room: int
    waiting_tokens: int
    zone: str

    __slots__ = (
        *_COPIED_FIELDS,
        "_split",
        "give_up_ms",
        "host",
        "identities",
        "labels",
        "name",
        "path",
        "prefix",
    )

    def __init__(
        self, name: str, values: dict[str, Any], split: WeightedSplit | None = None
    ) -> None:
        for key in _COPIED_FIELDS:
            setattr(self, key, values[key])
        workers: dict[str, list[str] | None] = values["workers"]
        self.name = name
        self.identities = frozenset(workers.get("identities") or [])
        self._split = split
        self.labels = frozenset(workers.get("labels") or []) if split is None else split.union
        self.path: str = values["path"] or name
        self.give_up_ms: int = values["give_up_ms"] or values["deadline_ms"]
        self.host: str = values["match"].get("host", "")
        self.prefix: str = values["match"].get("prefix", "")

    def choose_labels(self, number: float) -> frozenset[str]:
        """Return the labels of the service chosen by a random number, 0 <= number < 1."""
        return self.labels if self._split is None else self._split.choose(number)

    def allows(self, identity: str, labels: frozenset[str]) -> bool:
        """Whether a worker may serve this profile, by its identity or one of its labels."""
        return identity in self.identities or bool(self.labels & labels)

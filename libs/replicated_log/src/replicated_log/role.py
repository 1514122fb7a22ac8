"""The roles of a store in the replicated log."""

from enum import StrEnum

__all__ = ["LEADING_ROLES", "Role"]


class Role(StrEnum):
    """The present role of a store in the replicated log.

    A FOLLOWER replicates the leader's log. The other roles are the steps of becoming the leader, in
    order: claim the next epoch in the control key, recover the log, have f followers adopt the
    recovered log, announce changed members in the control key, and serve.
    """

    FOLLOWER = "peer"
    CLAIMING = "claiming"
    RECOVERING = "recovering"
    ADOPTING = "adopting"
    ANNOUNCING = "announcing"
    SERVING = "serving"


LEADING_ROLES = (Role.RECOVERING, Role.ADOPTING, Role.ANNOUNCING, Role.SERVING)
"""The roles in which a store acts as the leader that the control key names."""

"""The roles of a store in the log."""

from enum import StrEnum

__all__ = ["LEADING_ROLES", "Role"]


class Role(StrEnum):
    """What a store does for the log at the moment.

    A follower follows the leader. The other roles are the steps by which a store becomes the
    leader.
    """

    FOLLOWER = "peer"
    CLAIMING = "claiming"
    RECOVERING = "recovering"
    ADOPTING = "adopting"
    ANNOUNCING = "announcing"
    SERVING = "serving"


LEADING_ROLES = (Role.RECOVERING, Role.ADOPTING, Role.ANNOUNCING, Role.SERVING)
"""The roles of a store that the control key names as the leader and that is at work."""

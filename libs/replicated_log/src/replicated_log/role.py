"""The roles of a store in the log."""

from enum import StrEnum

__all__ = ["Role"]


class Role(StrEnum):
    """What a store does for the log at the moment.

    A peer follows the holder. The other roles are the steps by which a store becomes the holder.
    """

    PEER = "peer"
    CLAIMING = "claiming"
    RECOVERING = "recovering"
    ADOPTING = "adopting"
    ANNOUNCING = "announcing"
    SERVING = "serving"

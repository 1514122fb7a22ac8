"""Operations that a schedule submits to the stores of the replicated log."""

__all__ = ["AppendRecord", "ReadLog", "UpdateFleetView"]


class AppendRecord:
    """An append of a record at the leader, acknowledged once committed."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class ReadLog:
    """A read of the log at the leader, after it has confirmed that it is still the leader."""

    __slots__ = ()


class UpdateFleetView:
    """An update of one store's view of the fleet.

    Parameters
    ----------
    wiped
        The numbers of the stores that have restarted at their addresses under other identities.
    retired
        The numbers of the stores that are being retired.
    """

    __slots__ = ("retired", "wiped")

    def __init__(self, wiped: tuple[int, ...] = (), retired: tuple[int, ...] = ()) -> None:
        self.wiped = wiped
        self.retired = retired

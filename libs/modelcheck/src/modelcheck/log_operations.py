"""Operations that a schedule gives to the stores of the replicated log."""

__all__ = ["AppendRecord", "LearnFleet", "ReadLog"]


class AppendRecord:
    """An append of a record at the leader, acknowledged once committed."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class ReadLog:
    """A read of the log at the leader, after it has confirmed that it is still the leader."""

    __slots__ = ()


class LearnFleet:
    """An update of one store's view of the fleet, by the numbers of the stores concerned.

    `wiped` stores live on at their addresses under another identity, `retired` ones are to leave.
    """

    __slots__ = ("retired", "wiped")

    def __init__(self, wiped: tuple[int, ...] = (), retired: tuple[int, ...] = ()) -> None:
        self.wiped = wiped
        self.retired = retired

"""Operations that a schedule gives to the stores of the replicated log."""

__all__ = ["AppendRecord", "LearnFleet", "ReadLog"]


class AppendRecord:
    """An append of a record at the holder, acknowledged once settled."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class ReadLog:
    """A read of the log at the holder, after it has confirmed that it is still the holder."""

    __slots__ = ()


class LearnFleet:
    """News of the fleet for one store, by the numbers of the stores that it is about.

    `wiped` stores live on at their addresses under another identity, `retired` ones are to leave.
    """

    __slots__ = ("retired", "wiped")

    def __init__(self, wiped: tuple[int, ...] = (), retired: tuple[int, ...] = ()) -> None:
        self.wiped = wiped
        self.retired = retired

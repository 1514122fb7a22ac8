"""Breaks of the control keys, their voters and the configuration feed."""

__all__ = ["BREAKS"]

_CONTROL = "tests/test_control.py -k "
_FEED = "tests/test_feed.py -k "
_FAN = "tests/test_fan_out.py -k "
_FOUNDING = "tests/test_founding.py -k "
_DAYS = "tests/test_platform_days.py -k "
_EXPLORE = "tests/test_explore.py -k "

BREAKS: dict[str, tuple[str, str, str, str]] = {
    "voters change without a sweep": (
        "catalogue/src/catalogue/founding.py",
        "self._sweep(lambda ok: self._change_list(following) if ok else self._idle())",
        "self._change_list(following)",
        _CONTROL + "swept",
    ),
    "a lost change is taken": (
        "catalogue/src/catalogue/owner.py",
        "elif message.version != value.version:",
        "elif False:",
        _CONTROL + "two_changes",
    ),
    "a resent change is taken again": (
        "catalogue/src/catalogue/owner.py",
        "elif message.change_id in value.change_ids:",
        "elif False:",
        _CONTROL + "resend",
    ),
    "one vote is a majority": (
        "catalogue/src/catalogue/rounds.py",
        "len(voters) // 2 + 1",
        "1",
        _CONTROL + "minority",
    ),
    "an older version is accepted": (
        "catalogue/src/catalogue/voter.py",
        " or (ballot == register.accepted and version < register.version)",
        "",
        _CONTROL + "late_accept",
    ),
    "acknowledged before it is in force": (
        "catalogue/src/catalogue/owner.py",
        "if most and (now_ms >= due_ms or gazette.all_confirm(",
        "if most and (True or gazette.all_confirm(",
        _FEED + "not_acknowledged",
    ),
    "acknowledged with most edges cut off": (
        "gazette/src/gazette/feed.py",
        "return not self.binding or 2 * len(roll & have) > len(roll)",
        "return True",
        _FEED + "doubt_until",
    ),
    "the roll changes without its majority": (
        "catalogue/src/catalogue/roll.py",
        "if not gazette.most_confirm(ROLL_KEY, gazette.number(ROLL_KEY), params.confirm_ms):",
        "if False:",
        _FEED + "doubt_until",
    ),
    "the feed goes back": (
        "gazette/src/gazette/feed.py",
        "if item.number <= self.number(item.key):\n                continue",
        "if False:\n                continue",
        _FEED + "old_news",
    ),
    "acknowledged while a voter's edges lack it": (
        "gazette/src/gazette/feed.py",
        "if any(lows.get(key, number) < number for",
        "if any(False for",
        _FAN + "not_waited_for",
    ),
    "reports go to a voter that is cut off": (
        "gazette/src/gazette/contacts.py",
        "if address in self._chosen and len(self._rank) > len(self._chosen):",
        "if False:",
        _FAN + "leaves_voters",
    ),
    "a voter that hears nobody keeps its duties": (
        "catalogue/src/catalogue/owner.py",
        "first_live(order, self._neighbours.hears) or ",
        "",
        _FOUNDING + "hears_nobody",
    ),
    "a disk that lost its vote votes again": (
        "catalogue/src/catalogue/founding.py",
        "elif not self._may_found():",
        "elif False:",
        _FOUNDING + "wiped_before",
    ),
    "a lost disk's vote under way is not waited for": (
        "catalogue/src/catalogue/succession.py",
        "if settled(card):",
        "if True:",
        _FOUNDING + "another_identity",
    ),
    "a change on any base is taken": (
        "registrar/src/registrar/tree_changes.py",
        "elif revision_of(tree) != call.base:",
        "elif False:",
        _DAYS + "calm",
    ),
    "votes before they are on disk": (
        "catalogue/src/catalogue/voter.py",
        "self._disk.flush([self._log_name], flushed)",
        "flushed(True)",
        _EXPLORE + "nothing_breaks",
    ),
    "a voter takes any epoch": (
        "catalogue/src/catalogue/voter.py",
        "if ballot < register.promised or ( ballot == register.accepted",
        "if ( ballot == register.accepted",
        _EXPLORE + "nothing_breaks",
    ),
}

"""The generated days and site files are well formed and contain the faults that they are named for."""

import tomllib
from pathlib import Path
from tempfile import TemporaryDirectory

import site_variants
import worst_days
from testtools import TestCase
from testtools.matchers import Equals

SEEDS = range(1, 6)
KINDS_WITH_LENGTH = {"core_cut", "ack_lost", "disk_full", "disk_slow", "disk_stall"}
DELAYS_S = (1, 3, 5, 7)


def _days() -> list[dict]:
    return [worst_days.make_day(name, seed) for name in worst_days.DAYS for seed in SEEDS]


def _entries(day: dict) -> list[dict]:
    return [*day["plan"], *day["faults"]]


class DaysAreWellFormed(TestCase):
    def test_one_name_and_seed_always_give_the_same_day(self) -> None:
        for name in worst_days.DAYS:
            self.assertThat(worst_days.make_day(name, 3), Equals(worst_days.make_day(name, 3)))

    def test_seeds_differ(self) -> None:
        for name in worst_days.DAYS:
            self.assertNotEqual(worst_days.make_day(name, 1), worst_days.make_day(name, 2))

    def test_entries_have_a_kind_and_a_time_within_the_day(self) -> None:
        for day in _days():
            for entry in _entries(day):
                self.assertTrue(0 < entry["at"] < day["length_s"], entry)
                self.assertTrue(entry["kind"], entry)
            for entries in (day["plan"], day["faults"]):
                times = [entry["at"] for entry in entries]
                self.assertThat(times, Equals(sorted(times)))

    def test_days_last_25_to_110_seconds(self) -> None:
        for day in _days():
            self.assertTrue(25 <= day["length_s"] <= 110, day["name"])

    def test_lasting_faults_have_a_duration(self) -> None:
        for day in _days():
            for entry in _entries(day):
                if entry["kind"] in KINDS_WITH_LENGTH:
                    self.assertGreater(entry["for_s"], 0)

    def test_shares_are_between_0_and_1(self) -> None:
        for day in _days():
            for entry in _entries(day):
                self.assertTrue(0 < entry.get("share", 1) <= 1, entry)

    def test_every_day_ends_with_a_closing_fault_and_all_of_them_are_drawn(self) -> None:
        closings = [dict(day["closing"]) for day in _days()]
        drawn = {(closing["kind"], closing.get("how", "")) for closing in closings}
        named = {(row["kind"], row.get("how", "")) for row in worst_days.CLOSINGS.values()}
        self.assertThat(drawn, Equals(named))


class DaysContainTheirFaults(TestCase):
    def test_a_cut_lasts_twenty_seconds_or_more(self) -> None:
        for name in worst_days.DAYS:
            if name.startswith("cut-"):
                day = worst_days.make_day(name, 1)
                cuts = [entry for entry in day["faults"] if entry["kind"] == "core_cut"]
                self.assertTrue(cuts and all(entry["for_s"] >= 20 for entry in cuts), name)

    def test_hundreds_of_changes_has_more_than_200(self) -> None:
        day = worst_days.make_day("hundreds-of-changes", 1)
        changes = [entry for entry in day["plan"] if entry["kind"] == "config_change"]
        self.assertGreater(len(changes), 200)

    def test_a_second_loss_comes_its_delay_after_the_replacement(self) -> None:
        for on in ("core", "store"):
            for second in ("wipe", "kill"):
                for delay in DELAYS_S:
                    day = worst_days.make_day(f"second-{on}-{second}-{delay}", 2)
                    self._check_delays(day, f"after_ack_{second}", delay)

    def _check_delays(self, day: dict, second: str, delay: float) -> None:
        replaced = [entry for entry in day["faults"] if entry["kind"] == "replace_core"]
        lost = [entry for entry in day["faults"] if entry["kind"] == second]
        self.assertThat(len(lost), Equals(len(replaced)))
        for first, other in zip(replaced, lost, strict=True):
            self.assertAlmostEqual(first["at"] + first["x"] + delay, other["at"], delta=0.01)

    def test_refused_orders_has_every_kind_of_bad_configuration(self) -> None:
        day = worst_days.make_day("refused-orders", 1)
        hows = {entry["how"] for entry in day["plan"] if entry["kind"] == "bad_config"}
        self.assertThat(hows, Equals(set(worst_days.BAD_KINDS)))

    def test_bursts_are_of_the_class_of_jobs_if_given(self) -> None:
        jobs = worst_days.job_class({"classes": [{"name": "live"}, {"name": "night", "lot": {}}]})
        day = worst_days.make_day("chain-store-wipe", 1, jobs)
        bursts = [entry for entry in day["faults"] if entry["kind"] == "burst"]
        self.assertTrue(bursts)
        self.assertThat({entry["class"] for entry in bursts}, Equals({"night"}))


class FilesAreWritten(TestCase):
    def test_a_file_holds_the_day_that_was_drawn(self) -> None:
        with TemporaryDirectory() as folder:
            worst_days.main([folder, "--seed", "4", "cut-seeds", "leaving-stores"])
            for name in ("cut-seeds", "leaving-stores"):
                read = tomllib.loads((Path(folder) / f"{name}-4.toml").read_text())
                self.assertThat(read, Equals({"day": [worst_days.make_day(name, 4)]}))

    def test_an_unknown_name_is_refused(self) -> None:
        self.assertRaises(KeyError, worst_days.make_day, "no-such-day", 1)

    def test_sites_get_separate_copies_of_more_troubles(self) -> None:
        sites = [{"troubles": []}, {"troubles": []}]
        for site in sites:
            site_variants.all_troubles(site)
        sites[0]["troubles"][0]["kind"] = "changed"
        self.assertThat(sites[1]["troubles"], Equals(site_variants.MORE_TROUBLES))

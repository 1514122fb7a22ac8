"""The meters of simulated fleets and the fitted lines, from which the capacity page is computed."""

from testbed.measure_scale import create_fleet, fit_line, held_bytes, measure_one, meter_span
from testbed.measure_units import event_cost_us
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan


class Measurements(TestCase):
    def test_fitted_line(self):
        for points, expected in (
            ([(1, 5.0), (2, 7.0), (4, 11.0)], (2.0, 3.0)),
            ([(3, 4.0), (3, 6.0)], (0.0, 5.0)),
            ([(0, 1.0), (9, 1.0)], (0.0, 1.0)),
        ):
            self.assertThat(
                tuple(round(value, 9) for value in fit_line(points)), Equals(expected), points
            )

    def test_a_fleet_is_metered_by_role(self):
        rows = measure_one(1, 8, 0.5)
        for role in ("control", "store", "edge"):
            for name in ("cpu_ms", "sent", "received", "kb_sent", "held_kb"):
                self.assertThat(rows[role][name], GreaterThan(0), (role, name))
        self.assertThat(rows["control"]["reports"], GreaterThan(0))
        self.assertThat(rows["edge"]["reports"], Equals(0))

    def test_every_message_sent_is_received_where_nothing_is_lost(self):
        fleet = create_fleet(2, 8)
        meter_span(fleet, 1000)
        totals = {
            name: sum(count for (_, kind), count in fleet.meter.counts.items() if kind == name)
            for name in ("sent", "received")
        }
        self.assertThat(totals["sent"], Equals(totals["received"]))

    def test_held_bytes_leave_out_the_fleet(self):
        fleet = create_fleet(1, 8)
        self.assertThat(held_bytes(fleet.with_role("edge")[0].node), LessThan(1 << 20))

    def test_event_cost_is_positive(self):
        self.assertThat(event_cost_us(100), GreaterThan(0))

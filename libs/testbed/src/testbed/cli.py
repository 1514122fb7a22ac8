"""The command line `vaneledge-testbed`; its commands are defined in the modules imported here."""

from cyclopts import App

from testbed.diagnosis_commands import show_trace, try_mutations
from testbed.fleet_commands import fleet, node, platform, worker
from testbed.measure_command import measure
from testbed.model_checking import explore, histories
from testbed.simulation_commands import sim

__all__ = ["main"]

app = App(name="vaneledge-testbed", help="Test fleets, simulation and measurements of vaneledge.")
for command in (explore, histories, worker, node, fleet, sim, platform, measure):
    app.command(command)
app.command(try_mutations, name="breaks")
app.command(show_trace, name="trace")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()

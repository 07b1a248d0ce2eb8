"""Check the capacity page against the stored measurement, and the choice policy.

The first test fails when the measurement or the capacity model changes and the page
does not. The second fails when another policy balances as well as the chosen one.
"""

from pathlib import Path

from typer.testing import CliRunner

from kingcuppulley.experiments.choice import compare_policies
from kingcuppulley.operators.command_line import application

DOCS = Path(__file__).parents[2] / "docs"


def test_the_page_holds_what_the_command_computes_from_the_kept_measurement():
    file = str(DOCS / "figures" / "measure.json")
    result = CliRunner().invoke(application, ["capacity", file])
    assert result.exit_code == 0
    assert result.stdout.strip() in (DOCS / "CAPACITY.md").read_text()


def test_the_chosen_policy_balances_better_than_every_alternative():
    chosen, *others = compare_policies()
    assert all(chosen.imbalance < other.imbalance for other in others)

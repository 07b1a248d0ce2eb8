"""Check that the capacity page holds what `experiments.seeded_capacity` prints.

The control traffic of an entry host must also stay in its budget, and the largest
messages must fit one datagram.
"""

from __future__ import annotations

from pathlib import Path

from kingcuppulley.experiments.seeded_capacity import rows
from kingcuppulley.internal.datagram_link import MAXIMUM_DATAGRAM_BYTES

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
BUDGET_BYTES_PER_SECOND = 11_000


def test_the_page_holds_every_figure():
    page = PAGE.read_text()
    assert [str(row) for row in rows() if str(row) not in page] == []


def test_control_traffic_of_an_entry_host_stays_in_its_budget():
    figures = {row.what: row.value for row in rows()}
    assert figures["entry host: sum at rest"] < BUDGET_BYTES_PER_SECOND


def test_every_message_fits_one_datagram():
    figures = {row.what: row.value for row in rows()}
    assert figures["the longest answer"] < MAXIMUM_DATAGRAM_BYTES
    assert figures["a list of the entry hosts of one relay"] < MAXIMUM_DATAGRAM_BYTES
    assert (
        figures["a configuration of all addresses, compressed"] < MAXIMUM_DATAGRAM_BYTES
    )

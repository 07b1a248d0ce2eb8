"""Score deployments with an external bench and compare them with the last scores.

Run `python -m kingcuppulley.experiments.regression PROGRAM SITE...` in the repository,
with the path of the bench and of the files that describe the deployments.  The bench
writes an entry into `journal/` for each score.  Without a program, `--table SITE...`
prints the table of the entries that exist.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from pathlib import Path

import msgspec

JOURNAL = Path("journal")
# Difference of a site's score below which two scores count as equal.
NOISE = 0.03
_SCORE_COMMAND = "score"


class PlayedDay(msgspec.Struct, frozen=True):
    """Hold one day of a score."""

    name: str
    worth: float = msgspec.field(name="G")
    passed: bool = msgspec.field(name="gate")
    broken_rules: dict[str, object] = msgspec.field(name="rules")


class ScoreEntry(msgspec.Struct, frozen=True):
    """Hold one entry of the journal; those of other commands have no score."""

    command: str = msgspec.field(name="cmd")
    times: list[str] = msgspec.field(name="at")
    site: str | None = None
    score: float | None = None
    days: list[PlayedDay] = []

    @property
    def passed(self) -> bool:
        """Return whether every day passed."""
        return bool(self.days) and all(day.passed for day in self.days)


def read_scores(folder: Path, site: str) -> list[ScoreEntry]:
    """Return the scores of a site in the order of their start."""
    decoder = msgspec.json.Decoder(ScoreEntry)
    entries = []
    for path in folder.glob("*.json"):
        entry = decoder.decode(path.read_bytes())
        if entry.command == _SCORE_COMMAND and entry.site == site and entry.days:
            entries.append(entry)
    return sorted(entries, key=lambda entry: entry.times)


def compare(site: str, before: ScoreEntry | None, now: ScoreEntry) -> list[str]:
    """Return the rows of one site: its score, then each day."""
    score_before = before.score if before else None
    rows = [
        f"| {site} | score | {_number(score_before)} | "
        f"{_number(now.score)} | {'passed' if now.passed else 'FAILED'} |"
    ]
    worth_before = {day.name: day.worth for day in before.days} if before else {}
    for day in now.days:
        rules = ", ".join(sorted(day.broken_rules)) or "-"
        verdict = rules if day.passed else f"FAILED {rules}"
        rows.append(
            f"| | {day.name} | {_number(worth_before.get(day.name))} | "
            f"{_number(day.worth)} | {verdict} |"
        )
    return rows


def has_regressed(before: ScoreEntry | None, now: ScoreEntry) -> bool:
    """Return whether a score fails, or is lower than before by more than noise."""
    if not now.passed:
        return True
    if before is None or before.score is None or now.score is None:
        return False
    return now.score < before.score - NOISE


def print_table(sites: list[str]) -> bool:
    """Print the last two scores of each site and return whether none regressed."""
    print("| site | day | before | now | broken rules |")
    print("|---|---|---|---|---|")
    is_good = True
    for site in sites:
        scores = read_scores(JOURNAL, site)
        if not scores:
            print(f"| {site} | no score in {JOURNAL}/ | | | |")
            is_good = False
            continue
        before = scores[-2] if len(scores) > 1 else None
        for row in compare(site, before, scores[-1]):
            print(row)
        is_good = is_good and not has_regressed(before, scores[-1])
    return is_good


def main(arguments: list[str]) -> int:
    """Play the regression, or print its table; return 1 if a site regressed."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--table", action="store_true", help="play nothing")
    parser.add_argument("--jobs", type=int, default=2, help="days at a time")
    parser.add_argument("--why", default="regression", help="line for the journal")
    parser.add_argument("paths", nargs="+", type=Path, help="PROGRAM SITE...")
    options = parser.parse_args(arguments)
    sites = options.paths
    if not options.table:
        program, *sites = options.paths
        if not sites:
            parser.error("name at least one site file after the program")
        for site in sites:
            command = [program, _SCORE_COMMAND, site, "--jobs", str(options.jobs)]
            subprocess.run([*command, "--why", options.why], check=False)
    return 0 if print_table([site.stem for site in sites]) else 1


def _number(value: float | None) -> str:
    return "" if value is None else f"{value:.3f}"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Check the table that compares two scores of a deployment."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from kingcuppulley.experiments import regression


def write_entry(
    folder: Path, started_at: str, score: float, *, passed: bool = True
) -> None:
    entry = {
        "cmd": "score",
        "at": [started_at, started_at],
        "site": "small",
        "score": score,
        "days": [
            {
                "name": "quiet-1",
                "G": score + 0.3,
                "gate": passed,
                "rules": {} if passed else {"CONFIG": 1},
            }
        ],
    }
    (folder / f"{started_at}.json").write_text(json.dumps(entry))


@pytest.fixture
def journal(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    monkeypatch.setattr(regression, "JOURNAL", tmp_path)
    run = {"cmd": "run", "at": ["3", "3"], "site": "small", "days": []}
    (tmp_path / "3.json").write_text(json.dumps(run))
    return tmp_path


def test_the_last_score_is_compared_with_the_one_before(journal, capsys):
    write_entry(journal, "1", 0.6)
    write_entry(journal, "2", 0.59)
    assert regression.main(["--table", "sites/small.toml"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert "| small | score | 0.600 | 0.590 | passed |" in lines
    assert "| | quiet-1 | 0.900 | 0.890 | - |" in lines


@pytest.mark.parametrize(("score", "passed"), [(0.5, True), (0.6, False)])
def test_a_lower_score_and_a_broken_rule_are_regressions(
    journal, capsys, score: float, passed: bool
):
    write_entry(journal, "1", 0.6)
    write_entry(journal, "2", score, passed=passed)
    assert regression.main(["--table", "small.toml"]) == 1
    assert ("FAILED CONFIG" in capsys.readouterr().out) is not passed


def test_a_site_without_a_score_is_named(journal, capsys):
    assert regression.main(["--table", "other.toml"]) == 1
    assert "no score" in capsys.readouterr().out

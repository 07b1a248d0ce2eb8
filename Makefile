# Two commands: `make run` runs a small deployment, `make test` runs every check.
# Both set up what they need on a machine that has Python 3.11 and make.
PYTHON ?= python3
VENV := .venv
READY := $(VENV)/.ready

.PHONY: run test format measure

run: $(READY)
	$(VENV)/bin/python -m kingcuppulley.experiments.deployment --report build/run.json

test: $(READY)
	$(VENV)/bin/ruff format --check src tests
	$(VENV)/bin/ruff check src tests
	$(VENV)/bin/mypy
	$(VENV)/bin/python -m pytest

format: $(READY)
	$(VENV)/bin/ruff format src tests
	$(VENV)/bin/ruff check --fix src tests

measure: $(READY)
	$(VENV)/bin/python -m kingcuppulley.experiments.measure --report build/measure.json

$(READY): requirements/lock.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements/lock.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(READY)

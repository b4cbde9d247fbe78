PYTHON ?= python3.11
VENV ?= .venv
TEST_PROCESSES ?= 4
BIN = $(VENV)/bin

.PHONY: setup demo test lint types bench wheel

setup: $(VENV)/.ready

$(VENV)/.ready: requirements/lock.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements/lock.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	examples/demo/run.sh $(BIN)/siskinward

test: setup
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist loadfile

lint: setup
	$(BIN)/black --check --quiet src soak tests benchmarks examples
	$(BIN)/ruff check src soak tests benchmarks examples

types: setup
	$(BIN)/mypy

bench: setup
	$(BIN)/siskinward measure examples/orgonahaz.ini examples/liit.ini --json measures.json --html measures.html

wheel: setup
	$(BIN)/python -m pip wheel --quiet --no-deps --no-build-isolation --wheel-dir dist .

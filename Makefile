PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := godwitrudder standins bench soak tests

.PHONY: help setup demo test lint bench soak ci
help: ## list the targets
	@grep -E '^[a-z]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

$(STAMP): requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(STAMP)

setup: $(STAMP) ## make the virtual environment from the pinned files

demo: $(STAMP) ## three daemons and stand-ins in one process, real requests
	$(BIN)/python -m bench.demo

test: $(STAMP) ## run the tests; TESTS names some, or options
	$(BIN)/python -m pytest $(TESTS)

lint: $(STAMP) ## formatter, linter and type checker
	$(BIN)/black --check -q $(SOURCES)
	$(BIN)/isort --check-only -q $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy

bench: $(STAMP) ## run every bench, write bench-report.json
	$(BIN)/python -m bench

SEED ?= $(shell date +%s)
SEEDS ?= 5
soak: $(STAMP) ## real entry processes under seeded faults; SEED, SEEDS
	$(BIN)/python -m soak run --first $(SEED) --seeds $(SEEDS)

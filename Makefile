PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)

.PHONY: setup demo test lint bench prove soak

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(VENV)/ready

setup: $(VENV)/ready

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m experiments.platform_demo
	$(BIN)/python -m experiments.demo

bench: setup
	$(BIN)/python -m experiments.bench

prove: setup
	$(BIN)/python -m experiments.prove

SEED ?= 1
SEEDS ?= 10

soak: setup
	$(BIN)/python -m soak seeds --first $(SEED) --seeds $(SEEDS)

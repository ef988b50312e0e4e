PYTHON ?= python3
BIN := .venv/bin

.PHONY: run run-platform test bench lint format mutations soak

.venv/installed: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -e '.[test]'
	touch .venv/installed

run: .venv/installed
	@exec scripts/run-demo.sh

run-platform: .venv/installed
	@exec scripts/run-platform-demo.sh

# The order of sets, and with it simulated plays, depends on the hash seed: printed to repeat a run.
ifndef HASH_SEED
HASH_SEED := $(shell shuf -i 1-4294967295 -n 1)
endif

test: .venv/installed
	@echo "hash seed $(HASH_SEED): make test HASH_SEED=$(HASH_SEED)"
	PYTHONHASHSEED=$(HASH_SEED) $(BIN)/python -m pytest -n auto -m "not alone"
	PYTHONHASHSEED=$(HASH_SEED) $(BIN)/python -m pytest -m alone

lint: .venv/installed
	$(BIN)/black --check -q -l 100 .
	$(BIN)/ruff check .

format: .venv/installed
	$(BIN)/black -q -l 100 .
	$(BIN)/ruff check --fix .

bench: .venv/installed
	$(BIN)/python -m bench

mutations: .venv/installed
	$(BIN)/python -m bench.mutations

SEED ?= 1
MINUTES ?= 1
soak: .venv/installed
	$(BIN)/python scripts/soak.py $(SEED) --seconds $$((60 * $(MINUTES)))

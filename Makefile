# Every target sets up the virtual environment first; nothing else is needed.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: setup demo demo-platform example test soak soak-cuts soak-native soak-versions soak-parts soak-shares soak-surges soak-entries soak-silences soak-standstills soak-endless lint format capacity bench clean

setup: $(READY)

$(READY): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--constraint constraints.txt --editable '.[dev,bench]'
	touch $(READY)

demo: setup
	$(BIN)/python -m tamarackrill.testing.demo

demo-platform: setup
	$(BIN)/python -m tamarackrill.testing.edge_demo

NAME ?= cegin-ddata
example: setup
	$(BIN)/python -m tamarackrill.testing.deployment examples/$(NAME)

test: setup
	$(BIN)/python -m pytest --numprocesses 6 --dist loadgroup

SEED ?= 1
SEEDS ?= 50
SHAPE ?= three
soak: setup
	$(BIN)/python -m soak.run --seed $(SEED) --seeds $(SEEDS) --shape $(SHAPE)

soak-cuts: setup
	$(BIN)/python -m soak.cuts --seed $(SEED) --seeds $(SEEDS)

soak-native: setup
	$(BIN)/python -m soak.native --seed $(SEED) --seeds $(SEEDS)

soak-versions: setup
	$(BIN)/python -m soak.versions --seed $(SEED) --seeds $(SEEDS)

soak-parts: setup
	$(BIN)/python -m soak.parts --seed $(SEED) --seeds $(SEEDS)

soak-shares: setup
	$(BIN)/python -m soak.shares --seed $(SEED) --seeds $(SEEDS)

soak-surges: setup
	$(BIN)/python -m soak.surges --seed $(SEED) --seeds $(SEEDS)

soak-entries: setup
	$(BIN)/python -m soak.entries --seed $(SEED) --seeds $(SEEDS)

soak-silences: setup
	$(BIN)/python -m soak.silences --seed $(SEED) --seeds $(SEEDS)

soak-standstills: setup
	$(BIN)/python -m soak.standstills --seed $(SEED) --seeds $(SEEDS)

soak-endless: setup
	$(BIN)/python -m soak.endless --seed $(SEED) --seeds $(SEEDS)

lint: setup
	$(BIN)/ruff format --check src tests bench soak
	$(BIN)/ruff check src tests bench soak
	$(BIN)/mypy

format: setup
	$(BIN)/ruff check --fix --exit-zero src tests bench soak
	$(BIN)/ruff format src tests bench soak

capacity: setup
	$(BIN)/python bench/capacity.py

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis

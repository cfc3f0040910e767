# Development tasks; `make help` lists them.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SEED ?= 1
MINUTES ?= 2

.PHONY: help venv format lint test demo bench soak capacity idl clean

help:  ## List the targets
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

venv: $(VENV)/installed  ## Install the project and its tools

format: venv  ## Format the code
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: venv  ## Check format, lint rules, and types
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: lint  ## Run the linters and all tests
	$(BIN)/python -m lab.runtests

demo: venv  ## Demonstrate the balancer on loopback in under a minute
	$(BIN)/python -m lab.demo

bench: venv  ## Run the benchmarks, each paired with its baseline
	$(BIN)/python -m lab.bench --seed $(SEED)
	$(BIN)/python -m lab.faultbench --seed $(SEED)

soak: venv  ## Run under random faults, by default with SEED=1 MINUTES=2
	$(BIN)/python -m lab.soak --seed $(SEED) --minutes $(MINUTES)

capacity: venv  ## Measure the cost of control traffic with 2 to 64 hosts
	$(BIN)/python -m lab.capacity

idl:  ## Regenerate peerproto (needs the Thrift compiler)
	thrift --gen py:slots -out . idl/peer.thrift && rm -f __init__.py

clean:  ## Remove the files that the targets create
	rm -rf $(VENV) out .mypy_cache .ruff_cache .hypothesis

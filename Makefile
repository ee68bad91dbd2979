VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
SOURCES = src tests

.PHONY: setup lint format test demo try bench slopes soak

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

lint: setup
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/isort --quiet --check-only $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: setup
	$(BIN)/isort --quiet $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

test: lint
	$(BIN)/python -m nose2

demo: setup
	$(BIN)/python -m waxwinghold_bench.demo

try: setup
	$(BIN)/python -m waxwinghold_bench.try_out

bench: setup
	$(BIN)/python -m waxwinghold_bench.bench

slopes: setup
	$(BIN)/python -m waxwinghold_bench.slopes

soak: setup
	$(BIN)/python -m waxwinghold_soak many --count 10 --jobs 2

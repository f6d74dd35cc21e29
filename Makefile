PYTHON ?= python3
VENV ?= .venv
TEST_PROCESSES ?= 4
BIN := $(VENV)/bin
# Set READY to nothing to use a VENV that is set up already.
READY ?= $(VENV)/ready

export PYTHONPATH := src

.PHONY: test lint format demo check bench-overhead

test: lint check

check: $(READY)
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) -m "not crowd"
	$(BIN)/python -m pytest -m crowd

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: $(READY)
	$(BIN)/python -m fireflyspindle demo

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

# Four processes on loopback for about a minute; ARGS goes to the load.
bench-overhead: $(READY)
	@bench="$(BIN)/python -m fireflyspindle bench overhead"; \
	$$bench --role target & target=$$!; \
	$$bench --role pass-through & pass_through=$$!; \
	$$bench --role gate & gate=$$!; \
	$$bench --role load $(ARGS); status=$$?; \
	kill $$target $$pass_through $$gate; exit $$status

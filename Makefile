PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
WORKERS ?= 4
PYTEST_ARGS ?=

.PHONY: run test lint format proto bench soak

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e . \
	  || $(BIN)/pip install -q --no-deps -e .
	touch $@

run: $(VENV)/.ready
	$(BIN)/rattanpier demo

test: $(VENV)/.ready lint
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadgroup \
	  $(PYTEST_ARGS)

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.ready
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Prints each benchmark's tables; plots go to out/. Takes some ten minutes.
BENCHMARKS := fairness claims hints membership configuration sessions \
  placement_cost engine_choice rollout cascade overhead

bench: $(VENV)/.ready
	for name in $(BENCHMARKS); do \
	  PYTHONPATH=. $(BIN)/python -m benchmarks.$$name || exit 1; done

# Real entries under faults; fresh seeds unless FIRST is given.
FIRST ?= 0
COUNT ?= 50

soak: $(VENV)/.ready
	PYTHONPATH=. $(BIN)/python -m tests.soak.run --first=$(FIRST) \
	  --count=$(COUNT)

# Needs grpcio-tools; the generated code is committed.
proto: $(VENV)/.ready
	PATH="$(abspath $(BIN)):$$PATH" $(BIN)/python -m grpc_tools.protoc -Iproto \
	  --python_out=src/rattanpier/_internal/peers/proto \
	  --grpclib_python_out=src/rattanpier/_internal/peers/proto \
	  proto/peer.proto
	sed -i 's/^import peer_pb2/from . import peer_pb2/' \
	  src/rattanpier/_internal/peers/proto/peer_grpc.py

PYTHON ?= python3.11
BIN := .venv/bin
LIBS := base schema model http storage membership distribution organisations rollouts \
	placements traffic \
	operators node commands standins
DEPLOYMENT ?= tuttipullo
SCHEMA := libs/schema/auburnjunction/schema

.PHONY: all venv demo test lint format bench bench-membership schema clean

all: venv

venv: .venv/stamp

.venv/stamp: requirements.txt requirements-dev.txt libs/*/pyproject.toml \
		platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		$(foreach lib,$(LIBS),-e libs/$(lib)) -e platform
	touch $@

demo: venv
	$(BIN)/python tools/demo.py --deployment $(DEPLOYMENT)

test: venv
	$(BIN)/python tools/test.py

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: bench-nodes bench-distribution bench-membership bench-traffic

bench-nodes: venv
	$(BIN)/python tools/bench_nodes.py

bench-distribution: venv
	$(BIN)/python tools/bench_distribution.py

bench-membership: venv
	$(BIN)/python tools/bench_membership.py

bench-traffic: venv
	$(BIN)/python tools/bench_hops.py
	$(BIN)/python tools/bench_admission.py

bench-placement: venv
	$(BIN)/python tools/bench_placement.py

schema: venv
	$(BIN)/pip install --quiet -r requirements-schema.txt
	PATH=$(CURDIR)/$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc \
		--proto_path=libs/schema --python_out=libs/schema \
		--grpclib_python_out=libs/schema $(SCHEMA)/*.proto

clean:
	rm -rf .venv build dist out

VENV ?= .venv
PYTHON := $(abspath $(VENV))/bin/python
# Named after the declared dependencies, so that a changed declaration installs.
STAMP := $(VENV)/.installed-$(firstword $(shell sha256sum pyproject.toml))
export PYTHONPATH := $(CURDIR)/src

.PHONY: setup demo test format lint types unit known-red generate

setup: $(STAMP)

$(STAMP):
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --editable '.[dev]'
	touch $@

demo: setup
	$(PYTHON) -m tanagerport demo

test: lint types unit

format: setup
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

types: setup
	$(PYTHON) -m mypy

unit: setup
	$(PYTHON) -m pytest

known-red: setup
	$(PYTHON) -m pytest --known-red

generate:
	$(PYTHON) -m pip install --quiet --editable '.[generate]'
	PATH="$(abspath $(VENV))/bin:$$PATH" $(PYTHON) -m grpc_tools.protoc --proto_path=src --python_out=src \
	  --pyi_out=src --grpclib_python_out=src src/tanagerport/peer.proto

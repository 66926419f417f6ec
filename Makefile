PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup format lint test demo bench soak binary proto clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/black src tests bench
	$(BIN)/ruff check --fix src tests bench

lint: $(STAMP)
	$(BIN)/black --check --quiet src tests bench
	$(BIN)/ruff check src tests bench

test: $(STAMP)
	$(BIN)/python -m tests

demo: $(STAMP)
	$(BIN)/python -m bench.demo

bench: $(STAMP)
	$(BIN)/python -m bench

soak: $(STAMP)
	$(BIN)/python -W ignore -m bench.soak $(if $(SEED),--seed=$(SEED),--seeds=$(or $(SEEDS),10)) \
		$(if $(ANSWERS),--answers=True) $(if $(LIMITS),--limits=True)

binary: dist/bronzerudder

dist/bronzerudder: $(STAMP) requirements-runtime.lock $(shell find src -name '*.py')
	rm -rf build/binary
	$(BIN)/pip install --quiet --target build/binary --requirement requirements-runtime.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --target build/binary .
	find build/binary -type d -name tests -prune -exec rm -rf {} +
	mkdir -p dist
	$(BIN)/shiv --compressed --compile-pyc --reproducible --site-packages build/binary \
		--python '/usr/bin/env python3.11' \
		--entry-point bronzerudder.binary:main --output-file dist/bronzerudder

proto: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc --proto_path=src --python_out=src --grpc_python_out=src \
		$$(find src -name '*.proto')

clean:
	rm -rf $(VENV) build dist

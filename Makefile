# Every target works on a new machine that has Python 3.11 with venv and pip.
PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: setup test format demo binary bench spec clean

setup: .venv/ready

.venv/ready: requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps -e .
	touch .venv/ready

test: setup
	$(BIN)/ruff format --check sardinesaddle test misc
	$(BIN)/ruff check sardinesaddle test misc
	$(BIN)/mypy
	$(BIN)/python misc/check_imports.py
	$(BIN)/python -m compileall -q sardinesaddle
	$(BIN)/python -m pytest -n 6 --dist worksteal -m "not crowd"
	$(BIN)/python -m pytest -m crowd

format: setup
	$(BIN)/ruff check --fix-only -q sardinesaddle test misc
	$(BIN)/ruff format -q sardinesaddle test misc

demo: setup
	$(BIN)/sardinesaddle demo

spec: setup
	$(BIN)/sardinesaddle spec
	$(BIN)/sardinesaddle spec --mutants

binary: setup
	$(BIN)/python misc/build_binary.py dist/sardinesaddle

clean:
	rm -rf .venv build dist

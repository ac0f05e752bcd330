# build: what the program needs; test: all checks, as CI runs them; run: one render node, told by LB_CONFIG
PYTHON ?= python

.PHONY: build test lint run

build:
	test -d .venv || (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt)

lint:
	ruff check .
	mypy

test: lint
	$(PYTHON) -m pytest -q

run: build
	.venv/bin/python -m spindlerelay

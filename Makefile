# demo: a fleet on the emulator, no other step needed; test: all checks, as CI runs them
# format: puts the code into the form that test asks for
# soak: many process ends under signals in series, some minutes; SEEDS=N and FIRST=K choose them
# build: what the program needs; run: one render node, told by LB_CONFIG; bench: figures of docs/, some minutes
.PHONY: build lab dev test lint format run demo bench soak

build:
	@test -d .venv || (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt)

lab: .venv-lab/ready
dev: .venv-dev/ready

.venv-lab/ready: requirements-lab.txt requirements-operator.txt requirements.txt
	@python3 -m venv .venv-lab && .venv-lab/bin/pip -q install -r requirements-lab.txt && touch $@

.venv-dev/ready: requirements-dev.txt requirements-lab.txt requirements-operator.txt requirements.txt
	@python3 -m venv .venv-dev && .venv-dev/bin/pip -q install -r requirements-dev.txt && touch $@

demo: lab
	@.venv-lab/bin/python -m spindlerelay demo $(ARGS)

format: dev
	.venv-dev/bin/ruff check --fix .
	.venv-dev/bin/ruff format .

lint: dev
	.venv-dev/bin/ruff format --check .
	.venv-dev/bin/ruff check .
	.venv-dev/bin/mypy

test: lint
	.venv-dev/bin/python -m pytest -q

run: build
	.venv/bin/python -m spindlerelay

SEEDS ?= 500
FIRST ?= 1

soak: lab
	.venv-lab/bin/python -m spindlerelay drill soak --seeds $(SEEDS) --first $(FIRST)

bench: lab
	.venv-lab/bin/python -m bench.consul_cost
	.venv-lab/bin/python -m bench.consul_roster
	.venv-lab/bin/python -m bench.dependency_limits
	.venv-lab/bin/python -m bench.dependency_cost
	.venv-lab/bin/python -m bench.hot_path
	.venv-lab/bin/python -m bench.capacity
	.venv-lab/bin/python -m bench.pair_intervals

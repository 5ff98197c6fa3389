# build, test, lint, run; VENV names another virtual environment (CI uses its own)
VENV ?= .venv
PY = $(VENV)/bin/python
GIVEN ?= ../given/kit/sites

.PHONY: build test lint types run check budget sites soak soak-defects

build:
	test -d $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-sources.txt -r requirements-fleet.txt -r requirements-dev.txt

test:
	$(PY) -m pytest -q -n 4 --dist loadfile

# counts per request against benchmarks/budget.toml: fails where one is more than a tenth above
budget:
	$(PY) -m benchmarks.budget

# seeded days on real front ends with faults, judged by records: make soak SEEDS=1-50 [PLAN=links,crowd] [JOBS=3]
SEEDS ?= 1-50
JOBS ?= 3
soak:
	$(PY) -m standins.soak $(SEEDS) --jobs $(JOBS) $(if $(PLAN),--plan $(PLAN))

# defects planted in a copy of the tree, each to be caught within ten seeds
soak-defects:
	$(PY) -m standins.soak.defects --jobs $(JOBS)

lint:
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check -q .

# finds attributes that do not exist; the mixins of the decision module make it report many that do
types:
	$(VENV)/bin/mypy aspenrill standins benchmarks tests

# make run APP=billing.toml starts a sidecar; without APP a platform node, told by NODE_CONFIG
run:
	$(PY) -m aspenrill $(APP)

check:
	$(PY) -m aspenrill.tool check $(APP)

# lays what the bench wants beside a site file next to our own; the copies stay out of the repository
sites:
	install -m 644 $(addprefix $(GIVEN)/,real.json wire.json unlock.txt) $(wildcard $(GIVEN)/design.json) deploy/sites

# Development targets. VENV may be the path of a shared virtual environment.
VENV ?= .venv
PYTHON ?= python3
PY = PYTHONPATH=. $(VENV)/bin/python
STAMP = $(VENV)/.requirements-stamp
# Examples per state machine in `prove`; SEED is for `prove` and `soak`.
EXAMPLES ?= 1000
SEED ?= 1

# Options of `soak`: number of runs, seconds of disturbances, and the variant
# of a daemon that is broken on purpose (empty for none).
RUNS ?= 1
SECONDS ?= 15
BROKEN ?=

.PHONY: demo playground test lint format bench prove soak

$(STAMP): requirements.txt requirements-run.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
	  -r requirements.txt
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
	  --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m daisyhub.testing.demo

playground: $(STAMP)
	$(PY) -m daisyhub.testing.playground

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: lint
	$(PY) -m daisyhub.testing.runner

bench: $(STAMP)
	$(PY) -m benchmarks.hop
	$(PY) -m benchmarks.fleet_daemon
	$(PY) -m benchmarks.dispatch
	$(PY) -m benchmarks.peers_at_rest
	$(PY) -m benchmarks.leaving

prove: $(STAMP)
	DAISYHUB_EXAMPLES=$(EXAMPLES) DAISYHUB_SEED=$(SEED) \
	  $(PY) -m daisyhub.testing.runner --pattern='test_proof_*.py'

soak: $(STAMP)
	$(PY) -m daisyhub.testing.soak --seed=$(SEED) --runs=$(RUNS) \
	  --seconds=$(SECONDS) --broken=$(BROKEN)

REPORTS_STAMP = $(VENV)/.requirements-reports-stamp

.PHONY: slopes measure

$(REPORTS_STAMP): requirements-reports.txt $(STAMP)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
	  -r requirements-reports.txt
	touch $(REPORTS_STAMP)

slopes: $(STAMP)
	$(PY) -m benchmarks.slopes

measure: $(REPORTS_STAMP)
	$(PY) -m benchmarks.measure

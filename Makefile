VENV ?= .venv
PYTHON ?= python3.11
PY = $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: demo test lint format bench clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m mimosahaven.testing.demo

lint: $(STAMP)
	$(VENV)/bin/ruff format --no-cache --check .
	$(VENV)/bin/ruff check --no-cache .

test: lint
	$(PY) -m pytest

format: $(STAMP)
	$(VENV)/bin/ruff format --no-cache .
	$(VENV)/bin/ruff check --no-cache --fix .

bench: $(STAMP)
	$(PY) -m bench.run

clean:
	rm -rf $(VENV)

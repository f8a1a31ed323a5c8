# Main targets: `make demo` and `make test`; both set up the environment first.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test check features format clean

$(STAMP): constraints.txt packages/*/pyproject.toml platform/pyproject.toml
	python3.11 -m venv $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -c constraints.txt \
		-e packages/lagoonhinge-core -e packages/lagoonhinge-http -e packages/lagoonhinge-node \
		-e packages/lagoonhinge-ctl -e platform \
		behave hypothesis hdrhistogram matplotlib ruff mypy trustme
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -m tools.demo

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy packages/lagoonhinge-core/src packages/lagoonhinge-http/src packages/lagoonhinge-node/src \
		packages/lagoonhinge-ctl/src platform/src

features: $(STAMP)
	$(PYTHON) -m tools.run_features

test: check features

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

clean:
	rm -rf $(VENV)

.PHONY: install build demo check bench model-check format lint

install:
	tools/install.sh

build: install
	tools/build.sh release

demo: build
	tools/demo.sh

check: build
	tools/check.sh

bench: build
	tools/bench.sh

model-check: install
	tools/model-check.sh

format:
	tools/format.sh fix

lint: build
	tools/format.sh check
	tools/lint.sh

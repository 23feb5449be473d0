# Start with `make demo` and `make check`. Both install missing packages.
BUILD ?= build

.PHONY: all deps build demo check test lint format bench clean

all: build

deps:
	@scripts/install-deps

build: deps
	@echo "building into $(BUILD)/"
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@ninja -C $(BUILD) --quiet

demo: build
	@scripts/demo $(BUILD)

lint: build
	@BUILD=$(BUILD) scripts/lint

test: build
	@BUILD=$(BUILD) tests/run

check: lint
	@BUILD=$(BUILD) tests/run

format:
	@clang-format -i $$(git ls-files -co --exclude-standard '*.c' '*.h' | grep -v pb-c)

bench: build
	@BUILD=$(BUILD) bench/run

clean:
	@rm -rf $(BUILD) lab-out

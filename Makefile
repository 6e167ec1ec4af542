# The commands that people and CI use. Each does its own building.
BUILD ?= build
SEEDS ?= 1-200
SEED_RANGE = $(subst -, ,$(SEEDS))
THREADS ?= $(shell nproc)

.PHONY: all packages build test check demo verify soak process-soak mutants bench-policy bench-path slopes \
        capacity-check generate

all: build

packages:
	scripts/install-packages

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

# The main job on a fresh machine: two instances, stand-ins, load and faults, ending by itself.
demo: packages build
	scripts/demo

# Everything that must hold before a change lands; what CI runs.
check: packages
	scripts/check

# Fast, after a change.
test: build
	ctest --test-dir $(BUILD) --output-on-failure

# The proofs in full: models and their refuted variants, long randomised runs, guards taken out.
verify: build
	scripts/verify-models
	$(MAKE) soak SEEDS=1-1000
	scripts/mutants

# make soak SEEDS=1000-1999
soak: build
	$(BUILD)/bin/jaytrack-soak --first $(firstword $(SEED_RANGE)) --last $(lastword $(SEED_RANGE)) --threads $(THREADS)

# Real processes with faults from outside: make process-soak SEEDS=2000-2049
process-soak: build
	$(BUILD)/bin/jaytrack-process-soak --program $(BUILD)/bin/jaytrack-entry --threads 6 \
		--first $(firstword $(SEED_RANGE)) --last $(lastword $(SEED_RANGE))

mutants:
	scripts/mutants

bench-policy: build
	$(BUILD)/bin/jaytrack-bench-policy --seeds 4 --threads $(THREADS)

bench-path: build
	scripts/bench-path

# Measures the slopes, works out docs/CAPACITY.md and plots the raw points.
slopes: build
	scripts/slopes

capacity-check:
	scripts/capacity-check

# Regenerates the committed code of the wire format; needs the thrift compiler.
generate:
	thrift --gen cpp:no_skeleton -out lib/Wire/gen idl/peer.thrift

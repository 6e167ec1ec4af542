# The commands that people and CI use. Each does its own building.
BUILD ?= build
CMAKE_FLAGS ?= -G Ninja

.PHONY: all packages build test check generate demo format lint

all: build

packages:
	scripts/install-packages

build:
	cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	cmake --build $(BUILD)

test: build
	cd $(BUILD) && ctest --output-on-failure

check: packages
	scripts/check

# Regenerates the committed code of the wire format.
generate:
	thrift --gen cpp:no_skeleton -out lib/Wire/gen idl/peer.thrift

# Thin front end to CMake. Targets: all deps test lint format demo measure clean.

BUILD_DIR ?= build
BUILD_TYPE ?= RelWithDebInfo

.PHONY: all configure deps test lint format demo measure bench clean

all: configure
	cmake --build $(BUILD_DIR)

configure:
	cmake -S . -B $(BUILD_DIR) -G Ninja -DCMAKE_BUILD_TYPE=$(BUILD_TYPE) \
	  -DNUTMEG_WERROR=ON

deps:
	bash src/build-scripts/install-deps.sh

test: all
	bash src/build-scripts/run-tests.sh $(BUILD_DIR)

lint: configure
	bash src/build-scripts/lint.sh $(BUILD_DIR)

format:
	git ls-files -co --exclude-standard 'src/*.h' 'src/*.cpp' \
	  'platform/*.h' 'platform/*.cpp' | grep -v '\.capnp\.' | xargs clang-format -i

demo: deps all
	python3 testsuite/demo.py --build=$(BUILD_DIR)

measure: all
	python3 testsuite/measure.py --build=$(BUILD_DIR)

bench: all
	$(BUILD_DIR)/bin/nutmeg_bench

clean:
	cmake --build $(BUILD_DIR) --target clean

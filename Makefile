# Wrapper around CMake and the test scripts. `make help` lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: help deps build unit test soak sanitize fuzz demo bench format format-check lint clean

help:
	@echo "make build | test | soak SEED=N MINUTES=N SOAK=OPTIONS | sanitize | fuzz SEED=N FUZZ=OPTIONS | demo | bench | format | format-check | lint | clean"

deps:
	@sh .ci/install-deps

$(BUILD)/build.ninja: deps
	cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

unit: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

test: unit
	python3 testsuite/runtest.py --build $(BUILD)

SEED ?= 1
MINUTES ?= 0.3
# Further options of the soak, such as --faults roll,stop_router --routers 15 --callers 40.
SOAK ?=

soak: build
	python3 testsuite/soak/soak.py --binary $(BUILD)/src/cyclamencross --seed $(SEED) --minutes $(MINUTES) $(SOAK)

# The unit tests and a short soak of a build with AddressSanitizer and UndefinedBehaviorSanitizer, in a folder of its own.
SANITIZE_BUILD ?= build-sanitize
# The libraries that the router consists of.
SANITIZE_TESTS := base route gateway platform
empty :=
space := $(empty) $(empty)
SANITIZE_ENV := ASAN_OPTIONS=detect_stack_use_after_return=1:strict_string_checks=1 UBSAN_OPTIONS=print_stacktrace=1

sanitize: deps
	cmake -S . -B $(SANITIZE_BUILD) -G Ninja -DCYCLAMENCROSS_SANITIZERS=ON >/dev/null
	cmake --build $(SANITIZE_BUILD) -j $(JOBS) --target cyclamencross $(SANITIZE_TESTS:%=%_test)
	$(SANITIZE_ENV) ctest --test-dir $(SANITIZE_BUILD) --output-on-failure -j 4 -R "^($(subst $(space),|,$(SANITIZE_TESTS)))$$"
	$(SANITIZE_ENV) python3 testsuite/soak/soak.py --binary $(SANITIZE_BUILD)/src/cyclamencross --seed $(SEED) --minutes 0.2

# The fuzzers of the parsers, built with clang. FUZZ: further options, such as --inputs 1000000 events.
FUZZ_BUILD ?= build-fuzz
FUZZ ?=

fuzz: deps
	cmake -S . -B $(FUZZ_BUILD) -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCYCLAMENCROSS_FUZZERS=ON >/dev/null
	cmake --build $(FUZZ_BUILD) -j $(JOBS) --target fuzzers
	python3 testsuite/fuzz/fuzz.py --build $(FUZZ_BUILD) --seed $(SEED) $(FUZZ)

demo: build
	python3 testsuite/demo.py --build $(BUILD)

bench: build
	python3 testsuite/bench.py --build $(BUILD)

format:
	git ls-files -co --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | xargs clang-format -i

format-check:
	git ls-files -co --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | xargs clang-format --dry-run --Werror

lint: $(BUILD)/build.ninja
	git ls-files 'src/*.cpp' 'platform/*.cpp' | grep -v _test.cpp | grep -v testmain.cpp | xargs -P $(JOBS) -n 2 clang-tidy -p $(BUILD) --quiet

clean:
	rm -rf $(BUILD)

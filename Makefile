# A front for CMake; each target installs what it lacks.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build asan tsan test lint format demo bench soak clean

all: build

deps:
	@tools/install_deps.sh

build: deps
	@cmake -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

asan: deps
	@cmake -S . -B $(BUILD)/asan -DEY_SANITIZE=address >/dev/null
	@cmake --build $(BUILD)/asan -j $(JOBS)

tsan: deps
	@cmake -S . -B $(BUILD)/tsan -DEY_SANITIZE=thread >/dev/null
	@cmake --build $(BUILD)/tsan -j $(JOBS)

test: build asan
	@tools/run_tests.sh $(BUILD) $(BUILD)/asan

lint: build
	@tools/lint.sh $(BUILD)

format:
	@git ls-files '*.c' '*.h' '*.cc' | xargs clang-format -i

demo: build
	@tools/demo.sh $(BUILD)

bench: build
	@tools/bench.sh $(BUILD)

# Fresh seeds; SOAK_SECONDS bounds it.
soak: build
	@tools/soak.sh $(BUILD)

clean:
	@rm -rf $(BUILD)

# The newcomer's commands. CMake does the building.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all dependencies configure test quickstart bench soak format format-check lint sanitize clean

all: configure
	cmake --build $(BUILD) -j $(JOBS)

dependencies:
	packaging/install-dependencies

configure:
	@test -f $(BUILD)/build.ninja || cmake -S . -B $(BUILD) -G Ninja

test: dependencies all
	ctest --test-dir $(BUILD) --output-on-failure -j 4

quickstart: dependencies all
	packaging/quickstart $(BUILD)/bin $(if $(KEEP),--keep)

bench: dependencies all
	packaging/bench $(BUILD)

SEED ?= $(shell date +%s)
MINUTES ?= 2

soak: dependencies all
	src/soak/soak.py $(BUILD)/bin $(BUILD)/soak --seed $(SEED) --seconds $$(( $(MINUTES) * 60 ))

format:
	packaging/source-files | xargs clang-format -i

format-check:
	packaging/source-files | xargs clang-format --dry-run --Werror

lint: configure
	packaging/lint $(BUILD)

sanitize: dependencies
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DBERGAMOT_SANITIZE=ON -DBERGAMOT_BENCH=OFF
	cmake --build $(BUILD)-sanitize -j $(JOBS)
	ctest --test-dir $(BUILD)-sanitize --output-on-failure -j 4

clean:
	cmake --build $(BUILD) --target clean

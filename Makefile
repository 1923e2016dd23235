# build, test, lint and run; .ci/run does all that a change has to pass.
.PHONY: build test lint ci run

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$$(nproc)

# The README's test command.
test:
	cmake -B build-test -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCARTSPRING_TESTS=ON -DCARTSPRING_WERROR=ON
	cmake --build build-test -j$$(nproc)
	ctest --test-dir build-test --output-on-failure -j$$(nproc)

lint:
	clang-format --dry-run --Werror $$(git ls-files '*.h' '*.cpp')

ci:
	.ci/run

# make run CONFIG=path/to/config.json
run: build
	RELAY_CONFIG=$(CONFIG) build/bitternmux

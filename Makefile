# build, test, lint and run; .ci/run does all that a change has to pass.
.PHONY: build test demo fleet scale lint ci run

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$$(nproc)

# The README's test command.
test:
	.ci/install
	cmake -B build-test -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCARTSPRING_TESTS=ON -DCARTSPRING_WERROR=ON
	cmake --build build-test -j$$(nproc)
	ctest --test-dir build-test --output-on-failure -j$$(nproc)

# An emulated fleet and a sidecar for some seconds, with a trouble in the middle: what members got, and whether the
# rules were kept.
demo:
	.ci/install
	cmake -B build-demo -DCMAKE_BUILD_TYPE=Release -DCARTSPRING_LAB=ON
	cmake --build build-demo -j$$(nproc) --target bitternmux bitternmux_lab
	build-demo/bitternmux-lab run lab/scenarios/demo.toml --mode loopback --phases --record build-demo/demo.record
	build-demo/bitternmux-lab check build-demo/demo.record

# The fleet's three programs between stand-ins: a calm day and a kill of the owner, and what became of each request.
fleet:
	.ci/install
	cmake -B build-demo -DCMAKE_BUILD_TYPE=Release -DCARTSPRING_LAB=ON
	cmake --build build-demo -j$$(nproc) --target fleet_demo bitternmux_router bitternmux_agent bitternmux_control
	build-demo/fleet-demo

# What a sidecar and discovery cost at 80 to 630 servers.
scale:
	.ci/install
	cmake -B build-demo -DCMAKE_BUILD_TYPE=Release -DCARTSPRING_LAB=ON
	cmake --build build-demo -j$$(nproc) --target bitternmux bitternmux_lab
	build-demo/bitternmux-lab scale lab/scale/scale.toml --json build-demo/scale.json \
	    --commit $$(git rev-parse --short HEAD)

lint:
	clang-format --dry-run --Werror $$(git ls-files '*.h' '*.cpp')

ci:
	.ci/run

# make run CONFIG=path/to/config.json
run: build
	RELAY_CONFIG=$(CONFIG) build/bitternmux

# Days of the control side in simulated time: make simulation SEEDS=500 FIRST=1. A violation prints its seed and a history.
SEEDS ?= 500
FIRST ?= 1
.PHONY: simulation simulation-mutations packages tidy
simulation:
	.ci/install
	cmake -B build-demo -DCMAKE_BUILD_TYPE=Release -DCARTSPRING_LAB=ON
	cmake --build build-demo -j$$(nproc) --target fleet_simulation
	build-demo/fleet-simulation --seeds=$(SEEDS) --first=$(FIRST) --history --measure

# One mechanism switched off at a time, in a copy; each has to be found by a seed.
simulation-mutations:
	.ci/install
	lab/simulation/mutations/run.sh all

# The fleet's programs between hostile servers and clients; one router in one process between them.
ROUTERS ?= 3
.PHONY: torture wire-play
torture:
	.ci/install
	cmake -B build-demo -DCMAKE_BUILD_TYPE=Release -DCARTSPRING_LAB=ON
	cmake --build build-demo -j$$(nproc) --target fleet_torture
	build-demo/fleet-torture --seeds=$(SEEDS) --first=$(FIRST) --routers=$(ROUTERS)
wire-play:
	.ci/install
	cmake -B build-demo -DCMAKE_BUILD_TYPE=Release -DCARTSPRING_LAB=ON
	cmake --build build-demo -j$$(nproc) --target fleet_wire_play
	build-demo/fleet-wire-play --seeds=$(SEEDS) --first=$(FIRST)

# Whether deploy/system.toml lists all Debian packages that the fleet's build uses.
packages:
	.ci/install
	.ci/packages

tidy:
	.ci/install
	.ci/tidy

# Days of quota alone: make quota-days SEEDS=10000
.PHONY: quota-days
quota-days:
	.ci/install
	cmake -B build-demo -DCMAKE_BUILD_TYPE=Release -DCARTSPRING_LAB=ON
	cmake --build build-demo -j$$(nproc) --target fleet_quota_days
	build-demo/fleet-quota-days --seeds=$(SEEDS) --first=$(FIRST)

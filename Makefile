# Targets to build, test, lint and run the proxy.
.PHONY: build test lint fmt run fake-caches scenario soak ci

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

fmt:
	cargo fmt --all

# Runs the proxy with the configuration in examples/. Start its cache servers first, in another terminal, with
# `make fake-caches`.
run: build
	ROUTER_CONFIG=examples/config.json EDGE_PROXY_INTERCONNECT=examples/interconnect.json target/release/edge-proxy

fake-caches:
	cargo run --locked -p edge-testkit --example fake_caches

# Runs the loopback scenario, which consists of a purge, a drain and a shutdown, against the release build.
scenario: build
	target/release/edge-loopback-scenario

# Runs plans of overlapping faults against proxy processes on loopback. Each plan takes 7 s. SEEDS is a single seed or
# a range first..last. JOBS is the number of plans that run at the same time.
SEEDS ?= 1..40
JOBS ?= 8
soak:
	cargo run --release --locked -p edge-soak -- run --seeds $(SEEDS) --jobs $(JOBS)

ci:
	bash .ci/run

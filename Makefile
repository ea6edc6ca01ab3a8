# What a newcomer needs: build, test, lint, run.
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

# The proxy with the configuration of examples/. Start its cache servers first, in another window: make fake-caches
run: build
	ROUTER_CONFIG=examples/config.json EDGE_PROXY_INTERCONNECT=examples/interconnect.json target/release/edge-proxy

fake-caches:
	cargo run --locked -p edge-testkit --example fake_caches

# Plays a purge and a drain against the release build on loopback.
scenario: build
	target/release/edge-loopback-scenario

# Plays plans of overlapping faults against real proxies on loopback; a plan takes 7 s. SEEDS: one, or first..last.
SEEDS ?= 1..40
JOBS ?= 8
soak:
	cargo run --release --locked -p edge-soak -- run --seeds $(SEEDS) --jobs $(JOBS)

ci:
	bash .ci/run

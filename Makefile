# Targets for developers; README.md describes them.
GO ?= go
STATICCHECK_VERSION = v0.8.2
DEADCODE_VERSION = v0.52.0

.PHONY: run test smoke lint build model promises soak

run:
	$(GO) run ./tools/lab run

# Tests listed in KNOWN-RED.txt are printed and skipped. Each line has the form NAME: CAUSE; ISSUE, with a
# subtest named TEST/SUBTEST.
KNOWN_RED := $(shell sed 's/:.*//; s,/,$$/^,g; s/.*/^&$$/' KNOWN-RED.txt 2>/dev/null | paste -sd'|')

# These tests measure processes that are alone on the machine, so that they run after the others.
CROWD_TESTS := ^TestMisbehaving(Clients|Workers)$$
test:
	@if [ -n '$(KNOWN_RED)' ]; then echo 'not run, known to fail:'; cat KNOWN-RED.txt; fi
	$(GO) test -count=1 -parallel=3 -skip '$(CROWD_TESTS)$(if $(KNOWN_RED),|$(KNOWN_RED))' ./...
	$(GO) test -count=1 -p=1 -parallel=1 -run '$(CROWD_TESTS)' $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./platform/soak ./internal/proofs

smoke:
	$(GO) run ./tools/lab smoke

# Requires spin (Debian: apt-get install spin) and a C compiler.
model:
	spec/check

# SEED seeds the random choice of faults.
SEED ?= 1
promises:
	@bash -o pipefail -c "cd internal/proofs && $(GO) test -count=1 -parallel=3 -timeout=20m $(PROOFS) \
		-args -proofs.report -proofs.seed=$(SEED) | grep -vE '^(ok|PASS)'"

# Runs real gateways with injected faults: SEEDS runs, with the seeds from SEED on. TIME is how long each
# run injects faults.
SEEDS ?= 50
TIME ?= 8s
soak:
	$(GO) test -count=1 -timeout=60m ./platform/soak -args -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.time=$(TIME)

build:
	$(GO) build ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo 'gofmt would change the files above'; exit 1; }
	$(GO) vet ./...
	@! $(GO) list -deps ./cmd/rockcleat ./cmd/rockcleat-entry ./cmd/rockcleat-agent ./cmd/rockcleat-gateway | \
		grep -E 'toxiproxy|internal/(lab|standin|proofs)|platformtest' || { echo 'a product program imports test code'; exit 1; }
	$(GO) run ./tools/names
	tools/deadcode $(DEADCODE_VERSION)
	$(GO) run honnef.co/go/tools/cmd/staticcheck@$(STATICCHECK_VERSION) -checks all ./...

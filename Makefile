# Targets of saltbend; `make help` lists them.

GO ?= go
BIN ?= bin
# SKIP and SKIP_SPECS in the environment are regular expressions of tests and
# integration specs to pass over; .ci/run fills them from KNOWN-RED.txt.

.PHONY: help build test unit integration demo soak bed ablation bench bench-capacity bench-fleet model lint

help: ## list the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

build: ## build saltbendd and saltbend into bin/
	$(GO) build -o $(BIN)/ ./cmd/...

test: unit integration ## run every test

unit: ## unit, property and fuzz-seed tests under the race detector
	$(GO) test -race -timeout 5m $${SKIP:+-skip "$$SKIP"} ./internal/... ./cmd/... ./platform

# The tests build the programs that they start, which the cache of results does not see.
integration: ## tests of the stand-ins, and with real processes on loopback
	$(GO) test -count=1 $${SKIP:+-skip "$$SKIP"} $$($(GO) list ./test/... | grep -v /test/integration)
	$(GO) test -count=1 -timeout 12m ./test/integration $${SKIP_SPECS:+-args -ginkgo.skip "$$SKIP_SPECS"}

demo: ## run a whole fleet on loopback under load while balancers die
	$(GO) run ./test/cmd/demo

soak: ## faults of SEED (and COUNT - 1 more seeds) on the packet face for the time FOR each; RETURNS=1: the store also comes back from copies
	$(GO) run ./test/cmd/soak --seed $(or $(SEED),1) --count $(or $(COUNT),1) --for $(or $(FOR),20s) $(if $(RETURNS),--returns)

bed: ## lost requests and worth of the orders and choices under replayed loads
	$(GO) test -run '^$$' -bench 'Rush|Choices' -benchtime 1x ./internal/packetface/admission ./internal/packetface/steer

ablation: ## the same with one policy of the order switched off at a time
	$(GO) test -run '^$$' -bench 'Rush/.*/(late-last|least-slack|programs)$$' -benchtime 1x ./internal/packetface/admission

bench: ## benchmarks in benchstat format
	$(GO) test -run '^$$' -bench . -benchmem -benchtime 300ms ./internal/...

bench-capacity: ## slopes for docs/CAPACITY.md
	set -o pipefail; $(GO) test -run '^$$' -bench Capacity -benchtime 100ms ./internal/... | tee $(BIN)/$@.txt && $(GO) run ./test/cmd/slope < $(BIN)/$@.txt

bench-fleet: ## control cost of processes in fleets of 5 to 60
	set -o pipefail; $(GO) run ./test/cmd/footprint | tee $(BIN)/$@.txt && $(GO) run ./test/cmd/slope < $(BIN)/$@.txt

# The capacity targets pipe what they measure through the fit of lines; a
# failed benchmark must fail them.
bench-capacity bench-fleet: SHELL := bash
bench-capacity bench-fleet: | $(BIN)

$(BIN):
	mkdir -p $@

model: ## check the Promela models exhaustively, and that seeded faults are caught
	bash spec/check.sh

lint: ## gofmt, vet and staticcheck
	@unformatted=$$(gofmt -l cmd internal platform test); test -z "$$unformatted" || { echo "gofmt: $$unformatted"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

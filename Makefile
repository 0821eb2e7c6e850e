# Build, test and benchmark targets of saltbend; `make help` lists them.

GO ?= go
BIN ?= bin
# The environment variables SKIP and SKIP_SPECS are regular expressions that match
# the tests and the integration specs to skip; .ci/run sets them from KNOWN-RED.txt.

.PHONY: help build test unit integration demo soak bed ablation bench bench-capacity bench-fleet model lint

help: ## list the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

build: ## build saltbendd and saltbend into bin/
	$(GO) build -o $(BIN)/ ./cmd/...

test: unit integration ## run all tests

unit: ## run the unit, property and fuzz-seed tests with the race detector
	$(GO) test -race -timeout 5m $${SKIP:+-skip "$$SKIP"} ./internal/... ./cmd/... ./platform

# These tests build the programs that they start. The test cache does not detect
# changes of those programs, so -count=1 disables it.
integration: ## run the tests of the stand-ins, and the tests with real processes on loopback
	$(GO) test -count=1 $${SKIP:+-skip "$$SKIP"} $$($(GO) list ./test/... | grep -v /test/integration)
	$(GO) test -count=1 -timeout 12m ./test/integration $${SKIP_SPECS:+-args -ginkgo.skip "$$SKIP_SPECS"}

demo: ## run a complete fleet on loopback under load while balancers are killed
	$(GO) run ./test/cmd/demo

soak: ## inject the faults of SEED (and of COUNT - 1 more seeds) into a fleet of the packet face, for the time FOR per seed; RETURNS=1: the store is also restored from copies
	$(GO) run ./test/cmd/soak --seed $(or $(SEED),1) --count $(or $(COUNT),1) --for $(or $(FOR),20s) $(if $(RETURNS),--returns)

bed: ## measure lost requests and served worth of each request order, and waiting times of each upstream choice, under replayed loads
	$(GO) test -run '^$$' -bench 'Rush|Choices' -benchtime 1x ./internal/packetface/admission ./internal/packetface/steer

ablation: ## like bed for the request orders, with one policy of the order disabled at a time
	$(GO) test -run '^$$' -bench 'Rush/.*/(late-last|least-slack|programs)$$' -benchtime 1x ./internal/packetface/admission

bench: ## run the benchmarks; the output is in benchstat format
	$(GO) test -run '^$$' -bench . -benchmem -benchtime 300ms ./internal/...

bench-capacity: ## measure the slopes for docs/CAPACITY.md
	set -o pipefail; $(GO) test -run '^$$' -bench Capacity -benchtime 100ms ./internal/... | tee $(BIN)/$@.txt && $(GO) run ./test/cmd/slope < $(BIN)/$@.txt

bench-fleet: ## measure the control cost of the processes in fleets of 5 to 60
	set -o pipefail; $(GO) run ./test/cmd/footprint | tee $(BIN)/$@.txt && $(GO) run ./test/cmd/slope < $(BIN)/$@.txt

# The capacity targets pipe their results through a line fit. They need bash for
# pipefail, so that a failed benchmark fails the target.
bench-capacity bench-fleet: SHELL := bash
bench-capacity bench-fleet: | $(BIN)

$(BIN):
	mkdir -p $@

model: ## check the Promela models exhaustively, and check that they detect the seeded faults
	bash spec/check.sh

lint: ## run gofmt, go vet and staticcheck
	@unformatted=$$(gofmt -l cmd internal platform test); test -z "$$unformatted" || { echo "gofmt: $$unformatted"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

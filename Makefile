GO ?= go

.PHONY: capacity build test race bounds bench demo soak lint fmt-check check generate

build: ## compile every program into bin/
	$(GO) build -o bin/ ./cmd/...

test: ## run all tests but those that KNOWN-RED.txt lists
	GO="$(GO)" ./scripts/test.sh

race: ## run the specs of the platform path under the race detector, but those that KNOWN-RED.txt lists
	GO="$(GO)" ./scripts/test.sh -race ./internal/agentless/... ./platform

bounds: ## check deterministic figures against bench/bounds.ini
	$(GO) run ./cmd/siskinlab bounds --file bench/bounds.ini

bench: ## measure wall-clock figures, each with a baseline in the same run
	$(GO) run ./cmd/siskinlab bench

demo: build ## run both deployments on loopback, with faults, in under a minute
	./scripts/demo.sh

soak: build ## run both deployments with random faults drawn from a seed: make soak SEED=7 DURATION=120
	DEMO_SEED=$(or $(SEED),1) DEMO_SECONDS=$(or $(DURATION),90) ./scripts/demo.sh

fmt-check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$out" || { echo "gofmt: $$out"; exit 1; }

lint: fmt-check
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

check: lint test race bounds

generate: ## regenerate api/*pb from the schemas; needs protoc
	./scripts/generate.sh

capacity: build ## measure the cost of control work at four fleet sizes and extrapolate it
	./scripts/capacity.sh

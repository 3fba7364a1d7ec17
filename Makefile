GO ?= go

.PHONY: capacity build test race bounds bench demo soak lint fmt-check check generate

build: ## compile every program into bin/
	$(GO) build -o bin/ ./cmd/...

test: ## run every test
	$(GO) test -count=1 ./...

race: ## the specs of the users' platform path under the race detector
	$(GO) test -count=1 -race ./internal/agentless/... ./platform

bounds: ## deterministic figures against bench/bounds.ini
	$(GO) run ./cmd/siskinlab bounds --file bench/bounds.ini

bench: ## wall-clock figures, each against a baseline in the same run
	$(GO) run ./cmd/siskinlab bench

demo: build ## both deployments on loopback, with faults, in under a minute
	./scripts/demo.sh

soak: build ## both deployments under a drawn schedule of faults: make soak SEED=7 DURATION=120
	DEMO_SEED=$(or $(SEED),1) DEMO_SECONDS=$(or $(DURATION),90) ./scripts/demo.sh

fmt-check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$out" || { echo "gofmt: $$out"; exit 1; }

lint: fmt-check
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

check: lint test race bounds

generate: ## regenerate api/*pb from the schemas; needs protoc
	./scripts/generate.sh

capacity: build ## cost of control work at four sizes, extrapolated
	./scripts/capacity.sh

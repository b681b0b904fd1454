GOLANGCI_LINT_VERSION = v2.15.0
GO_TOOLS = $(shell go env GOPATH)/bin

.PHONY: test test-processes fuzz-quick soak soak-quick explore lint format bench bench-quick check-model generate build

# test runs all tests except test-processes. Only bench runs without the race
# detector: its packages start no event loops.
test:
	./.ci/test

# test-processes runs the tests that start separate processes and kill them, freeze
# them or cut their connections.
test-processes:
	./.ci/test-processes

# fuzz-quick runs each fuzz target of decoders for a few seconds.
fuzz-quick:
	./.ci/fuzz

# soak runs real processes under injected faults for some minutes. Each run has a
# new seed, which it prints; SEEDS is the number of runs.
SEEDS = 6
soak:
	go run ./internal/soak --seeds $(SEEDS) --output $(CURDIR)/bench/results/soak

# soak-quick makes one short run with a fixed seed and one run for each seed that
# failed before (internal/soak/seeds.txt).
soak-quick:
	go run ./internal/soak --seed 7 --chaos 6s --calm 8s
	./internal/soak/regressions

# explore runs the state machine tests with a new seed; a failing test prints it.
explore:
	go test -count=1 ./coordination/claim ./coordination/lease ./coordination/ownership \
		./coordination/membership ./coordination/revision -rapid.seed=$$(od -An -N6 -tu8 /dev/urandom | tr -d ' ')

lint:
	$(GO_TOOLS)/golangci-lint run ./...
	$(GO_TOOLS)/golangci-lint fmt --diff ./...

format:
	$(GO_TOOLS)/golangci-lint fmt ./...

# bench runs all scenarios of the load policy benchmark, which takes several
# minutes. Tables, JSON lines and the plot go to bench/results.
bench:
	go test ./bench/policy -count=1 -cpu 3 -timeout 30m -run TestPolicies -scale full -output $(CURDIR)/bench/results
	cat bench/results/policy.txt
	go test ./bench/policy -cpu 3 -run '^$$' -bench .

# bench-quick runs the main scenarios in less than a minute.
bench-quick:
	go test ./bench/policy -count=1 -cpu 3 -run TestPolicies -scale quick -output $(CURDIR)/bench/results
	cat bench/results/policy.txt

# check-model checks every model in spec with Spin, including the broken variants
# that it must refute.
check-model:
	./spec/check-model

# generate regenerates the committed protocol code. It needs protoc.
generate:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	go install storj.io/drpc/cmd/protoc-gen-go-drpc@v1.1.0
	PATH="$(GO_TOOLS):$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative $(wildcard protocol/*/*.proto)

build:
	go build ./...

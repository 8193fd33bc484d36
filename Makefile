# The two commands of the README are "make demo" and "make test"; the Go toolchain fetches what they need.

GO ?= go
LINT ?= $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: demo test golden lint format build spec bench fuzz

# demo runs the main job on embedded stand-ins.
demo:
	$(GO) run ./cmd/mimosalb demo

# test runs every test with the race detector and the lock order check, then, without them, the tests that count
# allocations, which both would change.
test:
	$(GO) test -race -tags lockcheck ./...
	$(GO) test -run Allocate ./internal/...

# golden rewrites the golden files after an intended change.
golden:
	$(GO) test $$(git ls-files '*.golden' | sed 's|testdata/.*||; s|^|./|' | sort -u) -update

# fuzz runs each fuzz target for ten seconds.
fuzz:
	$(GO) test ./pkg/loader -run '^$$' -fuzz FuzzParse -fuzztime 10s
	$(GO) test ./internal/adapter/codec -run '^$$' -fuzz FuzzDocument -fuzztime 10s
	$(GO) test ./internal/adapter/httpserver -run '^$$' -fuzz FuzzCompletionBody -fuzztime 10s
	$(GO) test ./internal/adapter/engineclient -run '^$$' -fuzz FuzzStream -fuzztime 10s

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

build:
	$(GO) build -o bin/ ./cmd/...

# bench runs every benchmark that a document quotes.
bench:
	$(GO) run ./bench

# spec checks the models of the core protocol with spin; each seeded fault must be caught.
spec:
	spec/check

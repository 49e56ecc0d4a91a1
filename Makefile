# Pinned version of the linter, which is installed into .tools.
LINT_VERSION := v2.15.0
LINT := .tools/golangci-lint

.PHONY: all build test race vet fmt lint check tools fuzz

all: build

build:
	go build -o bin/ ./cmd/...

tools: $(LINT)

$(LINT):
	mkdir -p .tools
	GOBIN=$(CURDIR)/.tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

fmt: $(LINT)
	$(LINT) fmt ./...

vet:
	go vet ./...

lint: $(LINT)
	$(LINT) fmt --diff ./...
	$(LINT) run --allow-parallel-runners ./...

# The test command of the README: everything that CI runs.
test: build vet lint race

race:
	.ci/gotest

# Generates the code of the operators' interface. Requires protoc, protoc-gen-go and
# protoc-gen-go-grpc on the path. The generated code is committed, so a build needs
# none of them.
.PHONY: proto
proto:
	protoc --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative \
		proto/operator/v1/operator.proto

# Generates the pages that are derived from the code. Tests fail if one is outdated.
.PHONY: docs
docs:
	go build -o bin/banyanshift ./cmd/banyanshift
	bin/banyanshift docs settings >docs/SETTINGS.md
	bin/banyanshift docs settings --gateway >docs/GATEWAY-SETTINGS.md
	bin/banyanshift docs events >docs/EVENTS.md
	bin/banyanshift docs metrics >docs/METRICS.md

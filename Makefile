# The developers' commands; README.md explains them.
GO ?= go
STATICCHECK_VERSION = v0.8.2

.PHONY: run test smoke slopes lint build

run:
	$(GO) run ./tools/lab run

test:
	$(GO) test -count=1 ./...

smoke:
	$(GO) run ./tools/lab smoke

slopes:
	$(GO) run ./tools/lab slopes

build:
	$(GO) build ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo 'gofmt would change the files above'; exit 1; }
	$(GO) vet ./...
	$(GO) run honnef.co/go/tools/cmd/staticcheck@$(STATICCHECK_VERSION) -checks all ./...

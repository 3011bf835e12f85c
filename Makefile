.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...

# make run CONFIG=path/to/config.json
run: build
	bin/eiderway serve --config $(CONFIG)

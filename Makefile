.PHONY: setup build test demo generate

setup:
	go mod download

build:
	go build -o bin/rosemarygate ./cmd/rosemarygate

test:
	go test -count=1 -timeout 20m ./...

demo: build
	./bin/rosemarygate demo --for 10s

generate:
	./scripts/generate.sh

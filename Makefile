.PHONY: setup build test demo generate

setup:
	go mod download

build:
	go build -o bin/rosemarygate ./cmd/rosemarygate

test:
	./scripts/test.sh

demo: build
	./bin/rosemarygate demo --for 10s

generate:
	./scripts/generate.sh

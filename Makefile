.PHONY: setup build test demo generate capacity

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

# Prints the slopes from which docs/CAPACITY.md is worked out; takes about five minutes.
capacity:
	go test ./pkg/capacity -count=1 -capacity -v -timeout 10m
	go test ./pkg/registration -count=1 -run 'TrafficGrowth|TrafficBetweenDataCentres' -v -full -timeout 10m
	go test ./pkg/token ./pkg/frame ./pkg/relay ./pkg/selection ./pkg/dispatch -run '^$$' -bench 'Verify|ReadHeader|RelayStep|Pick|Serve' -benchtime 100ms -count 3
	go test ./pkg/daemon -run '^$$' -bench ViewChanged -benchtime 200ms -count 3

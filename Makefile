.PHONY: build test generate demo

build: ## Builds the programs into bin/.
	go build -o bin/ ./cmd/...

test: ## Runs formatter check, linter and all tests.
	.ci/test

generate: ## Makes the messages again from the .proto files; needs protoc and its Go plugins.
	go generate ./...

demo: ## Runs a small fleet in one process.
	go run ./cmd/standin demo

# The daily commands.

.PHONY: build test race lint format generate golden guards bench measure demo

build: ## Build all programs into bin/.
	go build -o bin/ ./turmericwalld ./turmericwallctl ./turmericwallstand

test: ## Run all tests.
	go test work

race: ## Run what CI runs.
	./.ci/run

lint: ## Check format and names.
	go tool gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')
	go tool revive -config revive.toml -exclude ./internal/membership/twpeer/... ./... ./turmericwallctl/... ./turmericwalld/... ./turmericwallstand/... ./platform/... ./tools/guards/...

format: ## Rewrite all sources in the house format.
	go tool gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

generate: ## Renew the peer protocol; needs protoc.
	go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$$PWD/bin:$$PATH protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative internal/membership/twpeer/peer.proto

golden: ## Renew the golden files; read the difference before it is committed.
	go test ./internal/placement/twscheduler ./turmericwallstand/internal/twsite -update

guards: ## Take each guard of an incident out of a copy, and show that its test fails.
	go run ./tools/guards

bench: ## Run the benchmarks.
	go test -run '^$$' -bench . -benchmem ./internal/... ./turmericwallstand/internal/twsite

measure: ## Measure for docs/CAPACITY.md.
	go run ./turmericwallstand measure

demo: ## Show a whole site in one process.
	go run ./turmericwallstand demo

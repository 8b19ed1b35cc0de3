# The commands of the README; docs/ says more.
.PHONY: build run run-platform test race lint bench measure measure-quick scale mutants soak soak-seeds soak-short

build:
	go build -o bin/ ./cmd/...

run: build
	./_scripts/example.sh

test:
	./_scripts/test.sh

race:
	./_scripts/test.sh -race

lint:
	./_scripts/lint.sh

bench:
	go test -run '^$$' -bench . -benchmem ./pkg/...

measure: build
	./_scripts/measure.sh

measure-quick: build
	./_scripts/measure.sh --quick

scale: build
	./_scripts/scale.sh

mutants:
	./_scripts/mutants.sh

# A fault soak of real processes: fresh seeds; the seeds that ever failed; a short one.
soak: build
	bin/cobaltcroft-soak --seeds 10

soak-seeds: build
	bin/cobaltcroft-soak --seed 1 --length 10s
	bin/cobaltcroft-soak --seed 7100 --length 10s
	bin/cobaltcroft-soak --seed 309 --length 12s --instances 6 --clients 16
	bin/cobaltcroft-soak --seed 9603 --length 8s
	bin/cobaltcroft-soak --seed 20004 --length 10s
	bin/cobaltcroft-soak --seed 20005 --length 10s
	bin/cobaltcroft-soak --seed 90002 --seeds 2 --length 20s
	bin/cobaltcroft-soak --seed 91006 --length 12s
	bin/cobaltcroft-soak --seed 96206 --length 12s
	bin/cobaltcroft-soak --seed 101100 --length 12s --instances 7
	bin/cobaltcroft-soak --seed 102104 --length 10s --instances 5
	bin/cobaltcroft-soak --from 241ded6 --seed 30001 --length 18s

soak-short: build
	bin/cobaltcroft-soak --seed 7 --length 9s --instances 3 --clients 8
	bin/cobaltcroft-soak --from last --if-there --seed 30001 --length 12s --instances 3 --clients 8

// Package cmds implements the command of cobaltcroft-soak.
package cmds

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/platform/platformtest/soak"
)

const exitBreach = 1

// errBreach is returned when a check failed.
var errBreach = errors.New("a check failed")

// commandLine is the command line: faults are played unless another command is named.
type commandLine struct {
	Faults faultsCommand `cmd:"" default:"withargs" help:"Play faults on the instances."`
	Crowd  crowdCommand  `cmd:"" help:"Have most new connections come to one instance."`
}

type faultsCommand struct {
	Program   string        `default:"bin/cobaltcroftd" type:"path" help:"The program whose instances are run."`
	From      string        `help:"Begin with the program of an earlier commit, replace the instances one after the other by the present one, go back, and forward again; last: the newest of the landings."`
	IfThere   bool          `help:"Where the history lacks the commit of --from, such as in a shallow clone, say so and play nothing."`
	Landings  string        `default:"_fixtures/landings.txt" help:"The list of landings, with the promises that each lacks."`
	Seed      uint64        `help:"The first seed; 0: one by the clock."`
	Seeds     int           `default:"1" help:"How many seeds are played, one after the other."`
	Length    time.Duration `default:"15s" help:"How long faults come, for each seed."`
	Instances int           `default:"4" help:"How many instances run."`
	Clients   int           `default:"12" help:"How many clients send requests."`
	Dir       string        `help:"Where settings and logs are kept; a temporary folder if not given. That of a seed without a breach is removed."`
}

// Main runs the command and exits with status 1 if a check failed.
func Main() {
	var line commandLine
	ctx := kong.Parse(&line, kong.Name("cobaltcroft-soak"), kong.Description("Plays faults on real instances before stand-ins of the platform, and checks what must always hold."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "cobaltcroft-soak:", err)
		os.Exit(exitBreach)
	}
}

// Run runs the seeds.
func (line *faultsCommand) Run() error {
	if line.Seed == 0 {
		line.Seed = uint64(time.Now().UnixNano())
	}
	earlier, cleanUp, err := line.buildEarlier()
	if line.IfThere && problem.KindOf(err) == problem.NotFound {
		fmt.Println("mixed builds are not played:", err)
		return nil
	}
	if err != nil {
		return err
	}
	defer cleanUp()
	broken := 0
	for n := range uint64(line.Seeds) {
		if !line.play(line.Seed+n, earlier) {
			broken++
		}
	}
	fmt.Printf("%d seeds, %d with a breach\n", line.Seeds, broken)
	if broken > 0 {
		return errBreach
	}
	return nil
}

// earlier is the build with which the instances start. Its program is empty if that is the current build.
type earlier struct {
	program string
	lacks   []soak.Guarantee
}

// buildEarlier builds the requested earlier program, if any. The returned function removes it.
func (line *faultsCommand) buildEarlier() (earlier, func(), error) {
	if line.From == "" {
		return earlier{}, func() {}, nil
	}
	l, err := readLanding(line.Landings, line.From)
	if err != nil {
		return earlier{}, nil, err
	}
	dir, err := os.MkdirTemp("", "cobaltcroft-earlier-")
	if err != nil {
		return earlier{}, nil, err
	}
	cleanUp := func() { _ = os.RemoveAll(dir) }
	program, err := l.build(dir)
	if err != nil {
		cleanUp()
		return earlier{}, nil, err
	}
	fmt.Printf("begins with %s, which lacks %v\n", l.commit, l.lacks)
	return earlier{program, l.lacks}, cleanUp, nil
}

// play runs one seed and reports whether all checks passed.
func (line *faultsCommand) play(seed uint64, from earlier) bool {
	base := line.Dir
	if base == "" {
		base = os.TempDir()
	}
	dir := filepath.Join(base, fmt.Sprintf("cobaltcroft-soak-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, "cobaltcroft-soak:", err)
		return false
	}
	report, err := soak.Run(soak.Options{Program: line.Program, EarlierProgram: from.program, MissingGuarantees: from.lacks, Dir: dir, Seed: seed, Duration: line.Length, Instances: line.Instances, Clients: line.Clients})
	if err != nil {
		fmt.Fprintln(os.Stderr, "cobaltcroft-soak:", err)
		return false
	}
	fmt.Printf("seed %d: %d breaches, requests by outcome %v; %d limits, %d requests held against them; %d drills of the store, %d probes of the configuration; %d fetches of prompt parts; %d partitions, %d of them not compared, %d requests there; %d requests with the fatal part; %s; %s\n", seed, len(report.Violations), report.Counts, report.Limits, report.LimitedRequests, report.Drills, report.Probes, report.Fetches, report.Partitions, report.CrossedPartitions, report.PartitionedRequests, report.FatalParts, report.Streams, report.Rollout)
	if len(report.Violations) == 0 {
		_ = os.RemoveAll(dir)
		return true
	}
	for _, told := range report.Events {
		fmt.Println("  ", told)
	}
	for _, breach := range report.Violations {
		fmt.Println("  BREACH", breach)
	}
	fmt.Println("   logs in", dir)
	return false
}

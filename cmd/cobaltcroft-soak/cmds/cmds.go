// Package cmds has the command of cobaltcroft-soak.
package cmds

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest/soak"
)

const exitBreach = 1

type commandLine struct {
	Program   string        `default:"bin/cobaltcroftd" type:"path" help:"The program whose instances are run."`
	Seed      uint64        `help:"The first seed; 0: one by the clock."`
	Seeds     int           `default:"1" help:"How many seeds are played, one after the other."`
	Length    time.Duration `default:"15s" help:"How long faults come, for each seed."`
	Instances int           `default:"4" help:"How many instances run."`
	Clients   int           `default:"12" help:"How many clients send requests."`
	Dir       string        `help:"Where settings and logs are kept; a temporary folder if not given. That of a seed without a breach is removed."`
}

// Main plays the seeds and exits with 1 if anything broke.
func Main() {
	var line commandLine
	kong.Parse(&line, kong.Name("cobaltcroft-soak"), kong.Description("Plays faults on real instances before stand-ins of the platform, and checks what must always hold."))
	if line.Seed == 0 {
		line.Seed = uint64(time.Now().UnixNano())
	}
	broken := 0
	for n := range uint64(line.Seeds) {
		if !line.play(line.Seed + n) {
			broken++
		}
	}
	fmt.Printf("%d seeds, %d with a breach\n", line.Seeds, broken)
	if broken > 0 {
		os.Exit(exitBreach)
	}
}

// play plays one seed, and tells whether nothing broke.
func (c commandLine) play(seed uint64) bool {
	base := c.Dir
	if base == "" {
		base = os.TempDir()
	}
	dir := filepath.Join(base, fmt.Sprintf("cobaltcroft-soak-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, "cobaltcroft-soak:", err)
		return false
	}
	report, err := soak.Run(soak.Options{Program: c.Program, Dir: dir, Seed: seed, Length: c.Length, Instances: c.Instances, Clients: c.Clients})
	if err != nil {
		fmt.Fprintln(os.Stderr, "cobaltcroft-soak:", err)
		return false
	}
	fmt.Printf("seed %d: %d breaches, requests by outcome %v\n", seed, len(report.Breaches), report.Counts)
	if len(report.Breaches) == 0 {
		_ = os.RemoveAll(dir)
		return true
	}
	for _, told := range report.Told {
		fmt.Println("  ", told)
	}
	for _, breach := range report.Breaches {
		fmt.Println("  BREACH", breach)
	}
	fmt.Println("   logs in", dir)
	return false
}

package cmds

import (
	"fmt"
	"os"
	"time"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest/soak"
)

// minCrowdRatio is how often requests must be served while most new connections come to one instance, as a
// fraction of how often they were before.
const minCrowdRatio = 0.75

type crowdCommand struct {
	Program        string        `default:"bin/cobaltcroftd" type:"path" help:"The program whose instances are run."`
	Seed           uint64        `default:"1" help:"The seed."`
	Instances      int           `default:"24" help:"How many instances run."`
	Share          float64       `default:"0.05" help:"The processors of each instance, a fraction; 0: no limit."`
	PerSecond      int           `default:"300" help:"How many requests come in a second."`
	Length         time.Duration `default:"9s" help:"How long most new connections come to one instance."`
	Before         time.Duration `default:"4s" help:"How long they come to all alike before that, and after it."`
	KillAfter      time.Duration `help:"When the instance is killed and the next one takes its place; 0: never."`
	MaxConnections int           `default:"100" help:"How many connections an engine takes from all instances together."`
	Metrics        bool          `help:"Print the metrics of the instance."`
	Dir            string        `help:"Where settings and logs are kept; a temporary folder, removed afterwards, if not given."`
}

// Run plays once and reports whether the requests were served.
func (c *crowdCommand) Run() error {
	dir := c.Dir
	if dir == "" {
		made, err := os.MkdirTemp("", "cobaltcroft-crowd-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(made)
		dir = made
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	report, err := soak.PlayCrowd(soak.CrowdOptions{
		Program: c.Program, Dir: dir, Seed: c.Seed, Instances: c.Instances, ProcessorShare: c.Share, PerSecond: c.PerSecond,
		Crowded: c.Length, Before: c.Before, KillAfter: c.KillAfter, MaxConnections: c.MaxConnections,
	})
	if err != nil {
		return err
	}
	fmt.Println("before:          ", report.Before)
	fmt.Println("first seconds:   ", report.First)
	fmt.Println("then, there:     ", report.There)
	fmt.Println("then, elsewhere: ", report.Elsewhere)
	fmt.Println("after:           ", report.After)
	fmt.Println("resets by engines that had too many connections:", report.Resets)
	if c.Metrics {
		fmt.Println(report.Metrics)
	}
	if report.There.Share() < minCrowdRatio*report.Before.Share() {
		return errBreach
	}
	return nil
}

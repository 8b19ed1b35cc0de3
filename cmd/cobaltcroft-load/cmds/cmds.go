// Package cmds implements the commands of cobaltcroft-load.
package cmds

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"

	"github.com/cobaltcroft/cobaltcroft/pkg/trace"
)

type commandLine struct {
	Traces       tracesCommand       `cmd:"" help:"Write the sample traces of both fleets."`
	Prepare      prepareCommand      `cmd:"" help:"Write the settings of a fleet's stand-ins and instances, for each policy."`
	Report       reportCommand       `cmd:"" help:"Write the measured tables into a page."`
	PrepareScale prepareScaleCommand `cmd:"" help:"Write the settings of many instances before many endpoint records."`
	Scale        scaleCommand        `cmd:"" help:"Measure what control costs the running instances, and how fast a change spreads."`
	Measure      measureCommand      `cmd:"" help:"Replay traces against running processes and print one line per trace and policy."`
}

// Main runs the tool.
func Main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name("cobaltcroft-load"), kong.Description("Makes traces, replays them against running processes and measures. See docs/MEASUREMENTS.md."))
	if err := context.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "cobaltcroft-load:", err)
		os.Exit(1)
	}
}

type tracesCommand struct {
	Dir string `arg:"" type:"path" help:"The folder to write to."`
}

// Run writes the traces.
func (c *tracesCommand) Run() error {
	for _, fleet := range trace.Fleets() {
		for _, t := range trace.Generate(fleet) {
			if err := writeTrace(c.Dir, t); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeTrace(dir string, t *trace.Trace) error {
	file, err := os.Create(filepath.Join(dir, traceFile(t.Header.Fleet, t.Header.Name)))
	if err != nil {
		return err
	}
	defer file.Close()
	return t.Write(file)
}

func traceFile(fleet, name string) string { return fleet + "-" + name + ".jsonl" }

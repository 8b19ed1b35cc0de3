package cmds

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cobaltcroft/cobaltcroft/pkg/measure"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/trace"
)

type prepareCommand struct {
	Dir   string `arg:"" type:"path" help:"The folder to write to."`
	Fleet string `required:"" help:"The fleet."`
}

// Run writes the settings and prints a line with program and settings file for each process, which a script
// uses to start them.
func (c *prepareCommand) Run() error {
	fleet, err := fleetNamed(c.Fleet)
	if err != nil {
		return err
	}
	layout, err := measure.Prepare(c.Dir, fleet, measure.Policies)
	if err != nil {
		return err
	}
	printProcesses(layout)
	return nil
}

func fleetNamed(name string) (trace.Fleet, error) {
	for _, fleet := range trace.Fleets() {
		if fleet.Name == name {
			return fleet, nil
		}
	}
	return trace.Fleet{}, problem.New(problem.Invalid, "use "+trace.Andina+" or "+trace.Federation, "no fleet %q", name)
}

type measureCommand struct {
	Dir     string        `arg:"" type:"path" help:"The folder that prepare wrote."`
	Traces  string        `type:"path" default:"_fixtures/traces" help:"The folder of the traces."`
	Trace   []string      `help:"Only these traces."`
	Length  time.Duration `default:"1h" help:"Replay only this much of each trace."`
	Results string        `type:"path" help:"Append the rows as JSON lines to this file, for the report."`
}

// Run replays each trace with each policy.
func (c *measureCommand) Run() error {
	layout, err := measure.ReadLayout(c.Dir)
	if err != nil {
		return err
	}
	fleet, err := fleetNamed(layout.Fleet)
	if err != nil {
		return err
	}
	players, err := startPlayers(fleet, layout)
	if err != nil {
		return err
	}
	names := c.Trace
	if len(names) == 0 {
		names = trace.Names()
	}
	for _, name := range names {
		t, err := readTrace(filepath.Join(c.Traces, traceFile(fleet.Name, name)))
		if err != nil {
			return err
		}
		if err := c.replay(t, players); err != nil {
			return err
		}
	}
	return nil
}

func startPlayers(fleet trace.Fleet, layout *measure.Layout) ([]*measure.Player, error) {
	var group errgroup.Group
	var players []*measure.Player
	for _, set := range layout.Sets {
		player := measure.NewPlayer(fleet, set)
		players = append(players, player)
		group.Go(func() error { return player.Start(context.Background()) })
	}
	return players, group.Wait()
}

func readTrace(path string) (*trace.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return trace.Read(file)
}

func (c *measureCommand) replay(t *trace.Trace, players []*measure.Player) error {
	for _, player := range players {
		row, err := player.Replay(context.Background(), t, c.Length)
		if err != nil {
			return err
		}
		fmt.Println(row)
		if c.Results == "" {
			continue
		}
		if err := measure.AppendRow(c.Results, row); err != nil {
			return err
		}
	}
	return nil
}

type reportCommand struct {
	Results string `arg:"" type:"path" help:"The rows that measure wrote."`
	Page    string `arg:"" type:"path" help:"The page whose tables are replaced, between its markers."`
}

// Run replaces the tables of the page.
func (c *reportCommand) Run() error { return measure.Report(c.Results, c.Page) }

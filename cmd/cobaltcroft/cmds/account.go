package cmds

import (
	"io"
	"os"

	"github.com/cobaltcroft/cobaltcroft/pkg/logsummary"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// accountCommand sums up the logs of gateways.
type accountCommand struct {
	Files []string `arg:"" optional:"" help:"Log files of any instances; none: standard input."`
}

// Run implements kong's command.
func (c *accountCommand) Run(g *globals) error {
	sums := logsummary.New()
	if len(c.Files) == 0 {
		if err := sums.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Files {
		if err := readLog(sums, name); err != nil {
			return err
		}
	}
	return sums.Write(g.out)
}

func readLog(sums *logsummary.Summary, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return problem.Wrap(err, problem.Invalid, "name a readable file", "log %s cannot be read", name)
	}
	defer func(c io.Closer) { _ = c.Close() }(file)
	return sums.Read(file)
}

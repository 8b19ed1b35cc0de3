// Package cmds has the commands of cobaltcroftd.
package cmds

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/cobaltcroft/cobaltcroft/pkg/daemon"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
)

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type commandLine struct {
	Settings string `arg:"" type:"path" help:"The settings file (JSON; docs/SETTINGS.md)."`
}

// Main runs the daemon until a signal stops it.
func Main() {
	var line commandLine
	kong.Parse(&line, kong.Name("cobaltcroftd"), kong.Description("One entry instance of cobaltcroft. SIGTERM or SIGINT stops it as planned; a second one at once."))
	s, err := settings.Read(line.Settings)
	if err != nil {
		fail(err, exitSettings)
	}
	d, err := daemon.New(s, os.Stderr)
	if err != nil {
		fail(err, exitSettings)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := d.Run(signals); err != nil {
		fail(err, exitFailed)
	}
}

func fail(err error, code int) {
	fmt.Fprintln(os.Stderr, "cobaltcroftd:", err)
	os.Exit(code)
}

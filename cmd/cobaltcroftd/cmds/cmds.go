// Package cmds has the commands of cobaltcroftd.
package cmds

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/cobaltcroft/cobaltcroft/cmd/cobaltcroftd/daemon"
	"github.com/cobaltcroft/cobaltcroft/cmd/cobaltcroftd/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
)

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type commandLine struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Run an instance for pipelines of the product's own interface."`
	Gateway gatewayCommand `cmd:"" help:"Run an instance for opaque HTTP requests, on the company platform."`
	Check   checkCommand   `cmd:"" help:"Check the settings file of a gateway and exit."`
}

type serveCommand struct {
	Settings string `arg:"" type:"path" help:"The settings file (JSON; docs/SETTINGS.md)."`
}

type gatewayCommand struct {
	Settings string `arg:"" type:"path" help:"The settings file (JSON; docs/SETTINGS.md)."`
}

type checkCommand struct {
	Settings string `arg:"" type:"path" help:"The settings file (JSON; docs/SETTINGS.md)."`
}

// Main runs the daemon until a signal stops it.
func Main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name("cobaltcroftd"), kong.Description("One instance of cobaltcroft. SIGTERM or SIGINT stops it as planned; a second one at once."))
	context.FatalIfErrorf(context.Run())
}

// Run runs an instance of the product's own interface.
func (c *serveCommand) Run() error {
	s, err := settings.Read(c.Settings)
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
	return nil
}

// Run runs a gateway.
func (c *gatewayCommand) Run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := settings.ReadGateway(c.Settings)
	if err != nil {
		fail(err, exitSettings)
	}
	g, err := gateway.New(c.Settings, s, os.Stdout)
	if err != nil {
		fail(err, exitSettings)
	}
	if err := g.Run(signals); err != nil {
		fail(err, exitFailed)
	}
	return nil
}

// Run checks settings.
func (c *checkCommand) Run() error {
	if _, err := settings.ReadGateway(c.Settings); err != nil {
		fail(err, exitSettings)
	}
	fmt.Println("the settings are valid")
	return nil
}

func fail(err error, code int) {
	fmt.Fprintln(os.Stderr, "cobaltcroftd:", err)
	os.Exit(code)
}

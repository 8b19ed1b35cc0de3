// Package cmds implements the command of cobaltcroft-standin.
package cmds

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/cobaltcroft/cobaltcroft/pkg/standin"
)

type commandLine struct {
	Site string `arg:"" type:"path" help:"The site's settings (JSON)."`
}

// Main runs the fakes until it receives a signal.
func Main() {
	var line commandLine
	kong.Parse(&line, kong.Name("cobaltcroft-standin"), kong.Description("Small stand-ins for the key-value service, the instance list and the endpoints."))
	if err := run(line); err != nil {
		fmt.Fprintln(os.Stderr, "cobaltcroft-standin:", err)
		os.Exit(1)
	}
}

func run(line commandLine) error {
	settings, err := standin.ReadSite(line.Site)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	site, err := standin.StartSite(settings)
	if err != nil {
		return err
	}
	defer site.Close()
	fmt.Printf("event=listening key_value=%s instance_list=%s control=%s\n", site.KeyValueAddress, site.ListAddress, site.ControlAddress)
	<-signals
	return nil
}

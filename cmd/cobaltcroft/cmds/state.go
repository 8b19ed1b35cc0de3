package cmds

import (
	"fmt"
	"time"

	"connectrpc.com/connect"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/pkg/settings"
)

type statusCommand struct{}

// Run shows instances and endpoints.
func (c *statusCommand) Run(g *globals) error {
	ctx, cancel := g.context()
	defer cancel()
	resp, err := g.client().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return err
	}
	if g.Output == "json" {
		return g.printJSON(resp.Msg)
	}
	s := resp.Msg
	fmt.Fprintf(g.out, "instance %s, revision %d, key-value service reached: %t\n\n", s.Instance, s.Revision, s.PlatformReachable)
	w := g.table()
	fmt.Fprintf(w, "INSTANCE\tFAILURE DOMAIN\tSTATE\tREVISION\tREACHED\n")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\n", i.Name, i.FailureDomain, i.State, i.Revision, i.Reached)
	}
	fmt.Fprintf(w, "\nENDPOINT\tSERVICE\tFAILURE DOMAIN\tSTATE\tIN FLIGHT\tEJECTED\n")
	for _, e := range s.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\n", e.Name, e.Service, e.FailureDomain, e.State, e.InFlight, e.Ejected)
	}
	return w.Flush()
}

type timelineCommand struct {
	Request  string `help:"Only the events of this request."`
	Change   string `help:"Only the events of this change."`
	Endpoint string `help:"Only the events of this endpoint."`
	Limit    uint32 `help:"The greatest number of events of each instance." default:"200"`
}

// Run shows the events.
func (c *timelineCommand) Run(g *globals) error {
	ctx, cancel := g.context()
	defer cancel()
	resp, err := g.client().Timeline(ctx, connect.NewRequest(&pb.TimelineRequest{RequestId: c.Request, ChangeId: c.Change, Endpoint: c.Endpoint, Limit: c.Limit}))
	if err != nil {
		return err
	}
	if g.Output == "json" {
		return g.printJSON(resp.Msg)
	}
	w := g.table()
	fmt.Fprintf(w, "TIME\tINSTANCE\tEVENT\tREQUEST\tSTAGE\tENDPOINT\tDETAIL\n")
	for _, e := range resp.Msg.Events {
		at := time.UnixMilli(e.WallMs).UTC().Format("15:04:05.000")
		fmt.Fprintf(w, "%s+%d\t%s\t%s\t%s\t%s\t%s\t%s\n", at, e.Logical, e.Instance, e.Kind, e.RequestId, e.Stage, e.Endpoint, e.Detail)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, gap := range resp.Msg.Gaps {
		fmt.Fprintf(g.out, "gap: %s\n", gap)
	}
	return nil
}

type settingsCommand struct {
	Check checkCommand `cmd:"" help:"Check a settings file and list every fault."`
}

type checkCommand struct {
	File string `arg:"" type:"path"`
}

// Run checks the file.
func (c *checkCommand) Run(g *globals) error {
	s, err := settings.Read(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(g.out, "settings of instance %s are valid\n", s.Instance)
	return err
}

package cmds

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"connectrpc.com/connect"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
)

type domainCommand struct {
	Evacuate evacuateCommand `cmd:"" help:"Have the endpoints of a failure domain get no new work; what runs there ends."`
	Restore  restoreCommand  `cmd:"" help:"Have them get work again."`
	List     domainsCommand  `cmd:"" help:"Show the failure domains, which are evacuated, and who knows it."`
}

// order is what both commands say of a failure domain.
type order struct {
	Domain   string `arg:"" help:"The failure domain."`
	ChangeID string `help:"Identifies the change; made if absent."`
	Author   string `help:"Who makes the change." env:"USER" default:"unknown"`
	Wait     bool   `help:"Wait until the change is in force on all live instances."`
}

func (o *order) submit(g *globals, operation *pb.Operation) error {
	return g.submit(&pb.ApplyRequest{ChangeId: o.ChangeID, Author: o.Author, Operations: []*pb.Operation{operation}}, o.Wait)
}

type evacuateCommand struct {
	order
	Reason string `help:"For those who read the order."`
}

// Run submits the order.
func (c *evacuateCommand) Run(g *globals) error {
	evacuation := &pb.Evacuation{Name: c.Domain, Reason: c.Reason}
	return c.submit(g, &pb.Operation{Action: &pb.Operation_Put{Put: &pb.Object{Value: &pb.Object_Evacuation{Evacuation: evacuation}}}})
}

type restoreCommand struct{ order }

// Run submits the end of the order.
func (c *restoreCommand) Run(g *globals) error {
	return c.submit(g, &pb.Operation{Action: &pb.Operation_Delete{Delete: &pb.ObjectKey{Kind: string(config.KindEvacuation), Name: c.Domain}}})
}

type domainsCommand struct{}

// Run shows the failure domains.
func (c *domainsCommand) Run(g *globals) error {
	ctx, cancel := g.context()
	defer cancel()
	orders, err := g.client().GetConfiguration(ctx, connect.NewRequest(&pb.GetConfigurationRequest{Kind: string(config.KindEvacuation)}))
	if err != nil {
		return err
	}
	if g.Output == "json" {
		return g.printJSON(orders.Msg)
	}
	status, err := g.client().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return err
	}
	if len(orders.Msg.Objects) == 0 {
		return g.printDomains(nil, status.Msg, nil)
	}
	history, err := g.client().History(ctx, connect.NewRequest(&pb.HistoryRequest{Limit: config.HistoryLength}))
	if err != nil {
		return err
	}
	return g.printDomains(orders.Msg.Objects, status.Msg, history.Msg.Changes)
}

// printDomains prints a line for each failure domain that has endpoints or is evacuated.
func (g *globals) printDomains(orders []*pb.Object, status *pb.StatusResponse, changes []*pb.Change) error {
	w := g.table()
	fmt.Fprintf(w, "FAILURE DOMAIN\tSTATE\tENDPOINTS\tREVISION\tSINCE\tNOT IN FORCE AT\tREASON\n")
	endpoints := map[string]int{}
	for _, e := range status.Endpoints {
		endpoints[e.FailureDomain]++
	}
	for _, o := range orders {
		evacuation := o.GetEvacuation()
		lagging, _ := lag(status, o.Revision)
		fmt.Fprintf(w, "%s\tevacuated\t%d\t%d\t%s\t%s\t%s\n", evacuation.Name, endpoints[evacuation.Name], o.Revision, acceptedAt(changes, o.Revision), strings.Join(lagging, ","), evacuation.Reason)
		delete(endpoints, evacuation.Name)
	}
	for _, domain := range slices.Sorted(maps.Keys(endpoints)) {
		fmt.Fprintf(w, "%s\tin use\t%d\t\t\t\t\n", domain, endpoints[domain])
	}
	return w.Flush()
}

// acceptedAt returns when a revision was accepted; empty if that is no longer remembered.
func acceptedAt(changes []*pb.Change, revision uint64) string {
	for _, change := range changes {
		if change.Revision == revision {
			return timeOf(change)
		}
	}
	return ""
}

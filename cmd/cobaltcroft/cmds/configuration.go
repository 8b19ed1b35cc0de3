package cmds

import (
	"context"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/pkg/config"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/service/convert"
)

const (
	// applyTries bounds how often a change of unknown fate is submitted again.
	applyTries  = 5
	applyPause  = 200 * time.Millisecond
	spreadPause = 100 * time.Millisecond
)

func asConnect(err error, target **connect.Error) bool { return errors.As(err, target) }

// readObjects reads a file of the form {"objects": [...]}, as 'get --output json'
// prints it.
func readObjects(path string) ([]*pb.Object, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, problem.Wrap(err, problem.Invalid, "name a readable file", "configuration %s cannot be read", path)
	}
	var file pb.GetConfigurationResponse
	if err := protojson.Unmarshal(data, &file); err != nil {
		return nil, problem.Wrap(err, problem.Invalid, `use the form {"objects": [{"service": {...}}, ...]}`, "configuration %s does not parse", path)
	}
	return file.Objects, nil
}

type applyCommand struct {
	File     string `short:"f" required:"" type:"path" help:"Objects to put, in the form that 'get --output json' prints. An object's revision, if given, is checked."`
	ChangeID string `help:"Identifies the change; made if absent."`
	Author   string `help:"Who makes the change." env:"USER" default:"unknown"`
	Wait     bool   `help:"Wait until the change is in force on all live instances."`
}

// Run submits the change.
func (c *applyCommand) Run(g *globals) error {
	objects, err := readObjects(c.File)
	if err != nil {
		return err
	}
	req := &pb.ApplyRequest{ChangeId: c.ChangeID, Author: c.Author}
	for _, object := range objects {
		op := &pb.Operation{Action: &pb.Operation_Put{Put: object}}
		if object.Revision != 0 {
			op.BaseRevision = proto.Uint64(object.Revision)
		}
		req.Operations = append(req.Operations, op)
	}
	return g.submit(req, c.Wait)
}

type deleteCommand struct {
	Kind     string `arg:"" help:"pipeline, service, organisation, priority, placement or evacuation."`
	Name     string `arg:""`
	ChangeID string `help:"Identifies the change; made if absent."`
	Author   string `help:"Who makes the change." env:"USER" default:"unknown"`
	Wait     bool   `help:"Wait until the change is in force on all live instances."`
}

// Run submits the change.
func (c *deleteCommand) Run(g *globals) error {
	op := &pb.Operation{Action: &pb.Operation_Delete{Delete: &pb.ObjectKey{Kind: c.Kind, Name: c.Name}}}
	return g.submit(&pb.ApplyRequest{ChangeId: c.ChangeID, Author: c.Author, Operations: []*pb.Operation{op}}, c.Wait)
}

// submit submits a change, again with its id if its fate is unknown.
func (g *globals) submit(req *pb.ApplyRequest, wait bool) error {
	ctx, cancel := g.context()
	defer cancel()
	if req.ChangeId == "" {
		req.ChangeId = uuid.NewString()
	}
	client := g.client()
	var resp *connect.Response[pb.ApplyResponse]
	var err error
	for try := range applyTries {
		if try > 0 {
			time.Sleep(applyPause)
		}
		resp, err = client.Apply(ctx, connect.NewRequest(req))
		if err == nil || problem.KindOf(err) != problem.Unknown {
			break
		}
		fmt.Fprintf(os.Stderr, "change %s: fate unknown, asking again: %v\n", req.ChangeId, err)
	}
	if err != nil {
		return err
	}
	if g.Output == "json" {
		err = g.printJSON(resp.Msg)
	} else {
		_, err = fmt.Fprintf(g.out, "change %s accepted as revision %d\n", resp.Msg.ChangeId, resp.Msg.Revision)
	}
	if err != nil || !wait {
		return err
	}
	return g.waitInForce(ctx, resp.Msg.Revision)
}

// waitInForce waits until a revision is in force on all live instances, and names
// those that lag if the time runs out.
func (g *globals) waitInForce(ctx context.Context, revision uint64) error {
	var lagging []string
	total := 0
	for ctx.Err() == nil {
		resp, err := g.client().Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err != nil {
			return err
		}
		lagging, total = lag(resp.Msg, revision)
		if len(lagging) == 0 {
			_, err := fmt.Fprintf(g.out, "revision %d is in force on all %d live instances\n", revision, total)
			return err
		}
		time.Sleep(spreadPause)
	}
	return problem.New(problem.Unavailable, "look at the lagging instances with 'cobaltcroft status'; the change is accepted and will come into force", "revision %d is in force on %d of %d live instances; lagging: %v", revision, total-len(lagging), total, lagging)
}

func lag(status *pb.StatusResponse, revision uint64) (lagging []string, total int) {
	for _, i := range status.Instances {
		if i.State != "live" {
			continue
		}
		total++
		if i.Revision < revision {
			lagging = append(lagging, i.Name)
		}
	}
	return lagging, total
}

type getCommand struct {
	Kind string `arg:"" optional:"" help:"pipeline, service, organisation, priority, placement or evacuation; all if absent."`
	Name string `arg:"" optional:""`
}

// Run shows the configuration.
func (c *getCommand) Run(g *globals) error {
	ctx, cancel := g.context()
	defer cancel()
	resp, err := g.client().GetConfiguration(ctx, connect.NewRequest(&pb.GetConfigurationRequest{Kind: c.Kind, Name: c.Name}))
	if err != nil {
		return err
	}
	if g.Output == "json" {
		return g.printJSON(resp.Msg)
	}
	w := g.table()
	fmt.Fprintf(w, "KIND\tNAME\tREVISION\tVALUE\n")
	for _, o := range resp.Msg.Objects {
		key := convert.ObjectKey(o)
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", key.Kind, key.Name, o.Revision, valueText(o))
	}
	return w.Flush()
}

// valueText is an object without its revision, on one line.
func valueText(o *pb.Object) string {
	bare := proto.Clone(o).(*pb.Object)
	bare.Revision = 0
	data, _ := protojson.Marshal(bare)
	return string(data)
}

type diffCommand struct {
	File string `short:"f" required:"" type:"path" help:"Objects as for apply."`
}

// errDifferent ends diff with its own exit code.
var errDifferent = problem.New(problem.Conflict, "apply the file to make them equal", "the file differs from the configuration in force")

// Run shows the differences. It exits with 4 if there are any.
func (c *diffCommand) Run(g *globals) error {
	objects, err := readObjects(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	resp, err := g.client().GetConfiguration(ctx, connect.NewRequest(&pb.GetConfigurationRequest{}))
	if err != nil {
		return err
	}
	inForce := map[config.Key]string{}
	for _, o := range resp.Msg.Objects {
		inForce[convert.ObjectKey(o)] = valueText(o)
	}
	different := false
	for _, o := range objects {
		key := convert.ObjectKey(o)
		before, after := inForce[key], valueText(o)
		if before == after {
			continue
		}
		different = true
		if before != "" {
			fmt.Fprintf(g.out, "- %s %s\n", key, before)
		}
		fmt.Fprintf(g.out, "+ %s %s\n", key, after)
	}
	if different {
		return errDifferent
	}
	return nil
}

type historyCommand struct {
	Limit uint32 `help:"The greatest number of changes." default:"20"`
}

// Run shows the accepted changes.
func (c *historyCommand) Run(g *globals) error {
	ctx, cancel := g.context()
	defer cancel()
	resp, err := g.client().History(ctx, connect.NewRequest(&pb.HistoryRequest{Limit: c.Limit}))
	if err != nil {
		return err
	}
	if g.Output == "json" {
		return g.printJSON(resp.Msg)
	}
	w := g.table()
	fmt.Fprintf(w, "REVISION\tTIME\tAUTHOR\tCHANGE\tOBJECTS\n")
	for _, change := range resp.Msg.Changes {
		at := timeOf(change)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\n", change.Revision, at, change.Author, change.ChangeId, len(change.Keys))
	}
	return w.Flush()
}

// timeOf writes when a change was accepted.
func timeOf(change *pb.Change) string {
	return time.UnixMilli(change.TimeUnixMs).UTC().Format(time.RFC3339)
}

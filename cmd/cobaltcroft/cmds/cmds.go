// Package cmds has the commands of cobaltcroft, the tool.
package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kong"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1/cobaltcroftv1connect"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// The exit codes, which scripts may rely on.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitUnknown     = 6
)

var exitCodes = map[problem.Kind]int{
	problem.Invalid:     exitInvalid,
	problem.NotFound:    exitInvalid,
	problem.Denied:      exitInvalid,
	problem.Conflict:    exitConflict,
	problem.Unavailable: exitUnavailable,
	problem.Overloaded:  exitUnavailable,
	problem.Deadline:    exitUnavailable,
	problem.Unknown:     exitUnknown,
}

// globals are the options of all commands.
type globals struct {
	Operators string        `help:"The operators' address of any instance." env:"COBALTCROFT_OPERATORS" default:"127.0.0.1:7402"`
	Token     string        `help:"The operators' token." env:"COBALTCROFT_TOKEN"`
	Output    string        `help:"table or json." enum:"table,json" default:"table"`
	Timeout   time.Duration `help:"The time allowed for the command." default:"15s"`
	out       io.Writer
}

type commandLine struct {
	globals
	Apply    applyCommand    `cmd:"" help:"Submit a change: put the objects of a file."`
	Delete   deleteCommand   `cmd:"" help:"Submit a change that deletes one object."`
	Get      getCommand      `cmd:"" help:"Show the configuration."`
	Diff     diffCommand     `cmd:"" help:"Show what applying a file would change."`
	Domain   domainCommand   `cmd:"" help:"Evacuate failure domains, and take that back."`
	History  historyCommand  `cmd:"" help:"Show the accepted changes."`
	Status   statusCommand   `cmd:"" help:"Show instances and endpoints."`
	Timeline timelineCommand `cmd:"" help:"Show events of all instances in causal order."`
	Send     sendCommand     `cmd:"" help:"Send a request as a caller."`
	Settings settingsCommand `cmd:"" help:"Work with settings files."`
	Gateways gatewaysCommand `cmd:"" help:"Show what gateways heed, and how rollouts stand at each."`
	Account  accountCommand  `cmd:"" help:"Sum up the logs of gateways: requests, stages, calls to the source, owners."`
}

// Main runs the tool.
func Main() {
	var line commandLine
	line.out = os.Stdout
	context := kong.Parse(&line,
		kong.Name("cobaltcroft"),
		kong.Description("The tool for operators and callers of cobaltcroft. Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused as invalid, 4 conflict or different, 5 unavailable, 6 unknown whether done."),
		kong.Exit(exit))
	if err := context.Run(&line.globals); err != nil {
		fmt.Fprintln(os.Stderr, "cobaltcroft:", err)
		os.Exit(codeOf(err))
	}
}

// exit gives kong's own errors the documented code.
func exit(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

func codeOf(err error) int {
	if code, ok := exitCodes[problem.KindOf(err)]; ok {
		return code
	}
	return exitFailed
}

func (g *globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

// client returns a client of the operators' face that presents the token.
func (g *globals) client() cobaltcroftv1connect.OperatorsClient {
	return cobaltcroftv1connect.NewOperatorsClient(http.DefaultClient, "http://"+g.Operators, connect.WithInterceptors(connect.UnaryInterceptorFunc(
		func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
				req.Header().Set("Authorization", "Bearer "+g.Token)
				resp, err := next(ctx, req)
				return resp, problemOf(err)
			}
		})))
}

// problemOf turns a Connect error back into the problem that it carries. One that
// carries none may have come after the call took effect.
func problemOf(err error) error {
	if err == nil {
		return nil
	}
	wire := new(connect.Error)
	if !asConnect(err, &wire) {
		return err
	}
	for _, detail := range wire.Details() {
		value, valueErr := detail.Value()
		if d, ok := value.(*pb.ProblemDetail); ok && valueErr == nil {
			return problem.New(problem.Kind(d.Kind), "", "%s", wire.Message())
		}
	}
	if wire.Code() == connect.CodeUnavailable {
		return problem.Wrap(err, problem.Unavailable, "check the address given by --operators", "the instance was not reached")
	}
	return problem.Wrap(err, problem.Unknown, "ask again with the same change id", "the call had no answer")
}

// table returns a writer whose tab-separated lines come out as aligned columns, once
// it is flushed.
func (g *globals) table() *tabwriter.Writer {
	return tabwriter.NewWriter(g.out, 0, 0, 2, ' ', 0)
}

// printJSON prints a message of the schema as JSON.
func (g *globals) printJSON(m proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(g.out, string(data))
	return err
}

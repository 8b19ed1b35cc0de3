package cmds

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

type sendCommand struct {
	Pipeline      string `arg:"" help:"The pipeline."`
	Callers       string `help:"The callers' address of any instance." env:"COBALTCROFT_CALLERS" default:"127.0.0.1:7401"`
	Organisation  string `required:"" help:"The organisation."`
	Input         string `help:"The input, a JSON value." default:"{}"`
	RequestID     string `help:"Names the request; made if absent and repeatable."`
	Priority      string `help:"A priority class."`
	DeadlineMs    int64  `help:"The time allowed, in milliseconds; the pipeline's if absent."`
	NotRepeatable bool   `help:"The request must run at most once."`
	WithTicket    bool   `help:"Take a ticket first (not-repeatable requests)."`
	Stream        bool   `help:"Print the tokens as they come."`
}

// Run sends the request and prints the result. The exit code is 0 if it was
// answered, 5 if it was not run, 1 if it failed and 6 if that is unknown.
func (c *sendCommand) Run(g *globals) error {
	repeatable := !c.NotRepeatable
	call := api.Call{
		RequestID:    c.RequestID,
		Organisation: c.Organisation,
		Priority:     c.Priority,
		DeadlineMs:   c.DeadlineMs,
		Repeatable:   &repeatable,
		Stream:       c.Stream,
		Input:        json.RawMessage(c.Input),
	}
	if c.WithTicket {
		var ticket api.Ticket
		if err := c.post(g, "/v1/tickets", api.TicketRequest{Organisation: c.Organisation, RequestID: c.RequestID}, func(body io.Reader) error {
			return json.NewDecoder(body).Decode(&ticket)
		}); err != nil {
			return err
		}
		call.Ticket = ticket.Ticket
	}
	var result api.Result
	err := c.post(g, "/v1/pipelines/"+c.Pipeline, call, func(body io.Reader) error {
		return c.read(g, body, &result)
	})
	if err != nil {
		return err
	}
	return g.printResult(result)
}

func (c *sendCommand) post(g *globals, path string, body any, read func(io.Reader) error) error {
	ctx, cancel := g.context()
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return problem.Wrap(err, problem.Invalid, "give --input as JSON", "the input is not JSON")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Callers+path, bytes.NewReader(data))
	if err != nil {
		return problem.Wrap(err, problem.Invalid, "correct --callers", "address %s", c.Callers)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return problem.Wrap(err, problem.Unknown, "ask again with the same request id", "no answer from %s", c.Callers)
	}
	defer resp.Body.Close()
	if err := read(resp.Body); err != nil {
		return problem.Wrap(err, problem.Unknown, "ask again with the same request id", "the answer broke off")
	}
	return nil
}

// read reads a plain or a streamed answer.
func (c *sendCommand) read(g *globals, body io.Reader, result *api.Result) error {
	reader := bufio.NewReader(body)
	first, err := reader.Peek(1)
	if err != nil {
		return err
	}
	if first[0] == '{' {
		return json.NewDecoder(reader).Decode(result)
	}
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, 16<<20)
	event := ""
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if event == "result" {
			return json.Unmarshal([]byte(data), result)
		}
		var token api.Token
		if err := json.Unmarshal([]byte(data), &token); err != nil {
			return err
		}
		fmt.Fprintf(g.out, "token %d %s\n", token.Index, token.Text)
	}
	return io.ErrUnexpectedEOF
}

func (g *globals) printResult(result api.Result) error {
	if g.Output == "json" {
		data, _ := json.MarshalIndent(result, "", "  ")
		fmt.Fprintln(g.out, string(data))
	} else {
		fmt.Fprintf(g.out, "request %s %s at instance %s\n", result.RequestID, result.Outcome, result.Instance)
		for _, stage := range result.Stages {
			fmt.Fprintf(g.out, "  stage %-12s endpoint %-16s attempts %d  %.1f ms\n", stage.Name, stage.Endpoint, stage.Attempts, stage.Ms)
		}
		if len(result.Output) > 0 {
			fmt.Fprintf(g.out, "  output %s\n", result.Output)
		}
	}
	if result.Problem == nil {
		return nil
	}
	kind := map[string]problem.Kind{"not_run": problem.Unavailable, "unknown": problem.Unknown}[result.Outcome]
	if kind == "" {
		kind = problem.Internal
	}
	return problem.New(kind, result.Problem.Remedy, "%s: %s", result.Outcome, result.Problem.Message)
}

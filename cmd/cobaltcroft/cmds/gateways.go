package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/rollout"
)

// gatewaysCommand asks gateways, each at its metrics address, and shows what they say side by side.
type gatewaysCommand struct {
	Notices  noticesCommand  `cmd:"" help:"Show what endpoints said in their answers that gateways heed: that they leave, want rest, or take only so much from all."`
	Rollouts rolloutsCommand `cmd:"" help:"Show how traffic moves between versions."`
}

// asked are the gateways that a command asks.
type asked struct {
	Addresses []string `arg:"" help:"The metrics addresses of the gateways."`
}

// maxListing bounds a gateway's answer, in bytes.
const maxListing = 16 << 20

// fetchAll returns what each gateway lists at a path, by its address. One that does not answer fails the command: what it
// heeds is not known.
func fetchAll[T any](g *globals, addresses []string, path string) (map[string][]T, error) {
	ctx, cancel := g.context()
	defer cancel()
	lists := map[string][]T{}
	for _, address := range addresses {
		list, err := fetch[T](ctx, address, path)
		if err != nil {
			return nil, err
		}
		lists[address] = list
	}
	return lists, nil
}

func fetch[T any](ctx context.Context, address, path string) ([]T, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, problem.Wrap(err, problem.Invalid, "give host:port", "%q is no address", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, problem.Wrap(err, problem.Unavailable, "give the address that listen.metrics names there, or leave the gateway out", "gateway %s is not reached", address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListing))
	if err != nil {
		return nil, problem.Wrap(err, problem.Unavailable, "ask again", "the answer of gateway %s broke off", address)
	}
	var list []T
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, problem.Wrap(err, problem.Unavailable, "give the metrics address of a gateway, of a build that has the list", "gateway %s does not list %s", address, path)
	}
	return list, nil
}

// noticesCommand shows what endpoints said.
type noticesCommand struct{ asked }

// heeded is what a gateway heeds of one endpoint's life.
type heeded struct {
	Endpoint string   `json:"endpoint"`
	Leaving  bool     `json:"leaving"`
	Limit    *float64 `json:"limit"`
	RestMs   int64    `json:"rest_ms"`
}

// says is what the endpoint said, in words.
func (h heeded) says() string {
	switch {
	case h.Leaving:
		return "leaves"
	case h.Limit != nil:
		return "takes " + strconv.FormatFloat(*h.Limit, 'g', -1, 64) + " a second from all"
	}
	return "wants rest"
}

// Run implements kong's command.
func (c *noticesCommand) Run(g *globals) error {
	lists, err := fetchAll[heeded](g, c.Addresses, "/notices")
	if err != nil {
		return err
	}
	if g.Output == "json" {
		return json.NewEncoder(g.out).Encode(lists)
	}
	type row struct{ endpoint, says string }
	at := map[row][]string{}
	longest := map[row]int64{}
	for address, list := range lists {
		for _, h := range list {
			r := row{h.Endpoint, h.says()}
			at[r] = append(at[r], address)
			longest[r] = max(longest[r], h.RestMs)
		}
	}
	rows := slices.SortedFunc(maps.Keys(at), func(a, b row) int {
		return cmp.Or(cmp.Compare(a.says, b.says), cmp.Compare(a.endpoint, b.endpoint))
	})
	w := g.table()
	fmt.Fprintln(w, "ENDPOINT\tSAYS\tLEFT\tHEEDED AT")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.endpoint, r.says, left(longest[r]), where(at[r], len(lists)))
	}
	return w.Flush()
}

// left is how much longer something holds; a dash if no time is known.
func left(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// where names the gateways of so many, or says that it is all.
func where(addresses []string, of int) string {
	if len(addresses) == of {
		return fmt.Sprintf("all %d", of)
	}
	return fmt.Sprintf("%d of %d: %s", len(addresses), of, strings.Join(slices.Sorted(slices.Values(addresses)), " "))
}

// rolloutsCommand shows how rollouts stand.
type rolloutsCommand struct{ asked }

// Run implements kong's command.
func (c *rolloutsCommand) Run(g *globals) error {
	lists, err := fetchAll[rollout.Status](g, c.Addresses, "/rollouts")
	if err != nil {
		return err
	}
	if g.Output == "json" {
		return json.NewEncoder(g.out).Encode(lists)
	}
	w := g.table()
	fmt.Fprintln(w, "SERVICE\tVERSION\tORDER\tGATEWAY\tEXPOSURE\tSHARE\tSTATE\tKNOWN FOR\tDECIDES\tANSWERS\tAGAINST")
	for _, r := range byService(lists) {
		state := cmp.Or(string(r.State), "-")
		decides, answers, against := "-", "-", "-"
		if r.Conducted {
			decides, answers, against = "yes", strconv.Itoa(r.Answers), fmt.Sprintf("%.1f %s", r.Against, r.Measure)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%.2f\t%s\t%s\t%s\t%s\t%s\n", r.Service, r.Version, r.Order, r.gateway, r.Exposure, r.Share, state, left(r.AgeMs), decides, answers, against)
	}
	return w.Flush()
}

// listedAt is how a rollout stands at one gateway.
type listedAt struct {
	rollout.Status
	gateway string
}

// byService returns all rollouts, by service, order and gateway.
func byService(lists map[string][]rollout.Status) []listedAt {
	var all []listedAt
	for gateway, list := range lists {
		for _, l := range list {
			all = append(all, listedAt{l, gateway})
		}
	}
	slices.SortFunc(all, func(a, b listedAt) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Order, b.Order), cmp.Compare(a.gateway, b.gateway))
	})
	return all
}

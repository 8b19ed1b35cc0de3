package origin

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// Source is how the origin of a resumed stream was found.
type Source string

// Sources.
const (
	// Here: this instance holds its record.
	Here Source = "here"
	// Elsewhere: another instance holds its record.
	Elsewhere Source = "elsewhere"
	// OnlyVersion: nobody holds its record, but only one version has served since it can have begun.
	OnlyVersion Source = "only_version"
	// Unknown: nobody holds its record, and several versions may have begun it.
	Unknown Source = "unknown"
	// Doubtful: a record is held, but the version is not certain.
	Doubtful Source = "doubtful"
)

// Finding is what is known of a resumed stream.
type Finding struct {
	// Origin is set unless the source is Unknown or Doubtful.
	Origin Origin
	Source Source
	// Unanswered is set if some instance that might know the stream did not answer, so that another
	// instance, or this one later, may find it.
	Unanswered bool
}

// Known reports whether the stream may be continued.
func (f Finding) Known() bool { return f.Source != Unknown && f.Source != Doubtful }

// Search names a resumed stream.
type Search struct {
	Key Key
	// Named is set if the client has named the stream. If not, it has no record.
	Named bool
	// Service is the only service that its route allows, or empty if there are several.
	Service string
	// Within is the longest time since the stream can have begun.
	Within time.Duration
	// Domains are the failure domains whose instances may be asked; nil means any.
	Domains []string
}

// Find returns what is known of a resumed stream. It asks other instances if necessary.
func (r *Registry) Find(ctx context.Context, s Search) Finding {
	finding := r.find(ctx, s)
	r.found[finding.Source].Inc()
	r.log.WithFields(logrus.Fields{"event": "stream_origin", "key": uint64(s.Key), "known": string(finding.Source), "software": finding.Origin.Version, "unanswered": finding.Unanswered}).Info()
	return finding
}

func (r *Registry) find(ctx context.Context, s Search) Finding {
	if finding, held := r.held(s); held {
		return finding
	}
	r.observe()
	own := r.history.versions(s.Service, s.Within)
	if finding, only := s.onlyVersion([]Versions{own}); only {
		return finding
	}
	finding := r.ask(ctx, s, own)
	if !s.Named || finding.Source != Unknown {
		return finding
	}
	select {
	case <-r.clock.After(askAgainAfter):
	case <-ctx.Done():
		return finding
	}
	if finding, held := r.held(s); held {
		return finding
	}
	return r.ask(ctx, s, own)
}

// held returns the finding from the record that this instance holds, if it holds one.
func (r *Registry) held(s Search) (Finding, bool) {
	record, held := r.table.get(s.Key)
	if !s.Named || !held {
		return Finding{}, false
	}
	return findingOf(record.Origin, record.Doubtful, Here), true
}

func findingOf(o Origin, doubtful bool, source Source) Finding {
	if doubtful {
		return Finding{Source: Doubtful}
	}
	return Finding{Origin: o, Source: source}
}

// reply is the response of one instance to a query.
type reply struct {
	answer Answer
	err    error
}

// ask asks the instances that may hold the record. If none does, it decides by what they and this
// instance know of the versions.
func (r *Registry) ask(ctx context.Context, s Search, own Versions) Finding {
	peers := peersToAsk(s.Key, inDomains(s.Domains, r.peers.Live()))
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q := Query{Key: s.Key, Service: s.Service, WithinMs: s.Within.Milliseconds()}
	replies := make(chan reply, len(peers))
	for _, peer := range peers {
		go func() {
			answer, err := r.peers.Ask(ctx, peer, q)
			replies <- reply{answer, err}
		}()
	}
	known := []Versions{own}
	unanswered := false
	for range peers {
		got := <-replies
		switch {
		case got.err != nil:
			unanswered = true
		case got.answer.Known && s.Named:
			return findingOf(got.answer.Origin, got.answer.Doubtful, Elsewhere)
		default:
			known = append(known, got.answer.Versions)
		}
	}
	if finding, only := s.onlyVersion(known); only {
		return finding
	}
	return Finding{Source: Unknown, Unanswered: unanswered}
}

// onlyVersion returns the finding if only one version can have begun the stream: some instance must have
// observed the endpoints for that long, and none may know of a second version.
func (s Search) onlyVersion(known []Versions) (Finding, bool) {
	var names []string
	observed := false
	for _, v := range known {
		names = append(names, v.Names...)
		observed = observed || v.ObservedMs >= s.Within.Milliseconds()
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if s.Service == "" || !observed || len(names) != 1 {
		return Finding{}, false
	}
	return Finding{Origin: Origin{Service: s.Service, Version: names[0]}, Source: OnlyVersion}, true
}

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
	// Unheard is set if some instance that might know the stream did not answer, so that another
	// instance, or this one later, may find it.
	Unheard bool
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
	r.log.WithFields(logrus.Fields{"event": "stream_origin", "key": uint64(s.Key), "known": string(finding.Source), "software": finding.Origin.Version, "unheard": finding.Unheard}).Info()
	return finding
}

func (r *Registry) find(ctx context.Context, s Search) Finding {
	q := Query{Key: s.Key, Service: s.Service, WithinMs: s.Within.Milliseconds()}
	if own, held := r.table.get(s.Key); s.Named && held {
		return findingOf(own.Origin, own.Doubtful, Here)
	}
	r.observe()
	own := r.history.versions(q.Service, s.Within)
	if version, only := onlyVersion([]Versions{own}, s.Within); only && s.Service != "" {
		return Finding{Origin: Origin{Service: s.Service, Version: version}, Source: OnlyVersion}
	}
	finding := r.ask(ctx, s, q, own)
	if !s.Named || finding.Source != Unknown {
		return finding
	}
	select {
	case <-r.clock.After(askAgainAfter):
	case <-ctx.Done():
		return finding
	}
	if own, held := r.table.get(s.Key); held {
		return findingOf(own.Origin, own.Doubtful, Here)
	}
	return r.ask(ctx, s, q, own)
}

func findingOf(o Origin, doubtful bool, source Source) Finding {
	if doubtful {
		return Finding{Source: Doubtful}
	}
	return Finding{Origin: o, Source: source}
}

// ask asks the instances that may hold the record. If none does, it decides by what they and this
// instance know of the versions.
func (r *Registry) ask(ctx context.Context, s Search, q Query, own Versions) Finding {
	peers := asked(s.Key, within(s.Domains, r.peers.Live()))
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type reply struct {
		answer Answer
		err    error
	}
	replies := make(chan reply, len(peers))
	for _, peer := range peers {
		go func() {
			answer, err := r.peers.Ask(ctx, peer, q)
			replies <- reply{answer, err}
		}()
	}
	known := []Versions{own}
	unheard := false
	for range peers {
		got := <-replies
		switch {
		case got.err != nil:
			unheard = true
		case got.answer.Known && s.Named:
			return findingOf(got.answer.Origin, got.answer.Doubtful, Elsewhere)
		default:
			known = append(known, got.answer.Versions)
		}
	}
	if version, only := onlyVersion(known, s.Within); only && s.Service != "" {
		return Finding{Origin: Origin{Service: s.Service, Version: version}, Source: OnlyVersion}
	}
	return Finding{Source: Unknown, Unheard: unheard}
}

// onlyVersion returns the only version that has served within a time, and whether that is certain: some
// instance must have observed the endpoints for that time, and none may know of a second version.
func onlyVersion(known []Versions, within time.Duration) (string, bool) {
	var names []string
	observed := false
	for _, v := range known {
		names = append(names, v.Names...)
		observed = observed || v.ObservedMs >= within.Milliseconds()
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if !observed || len(names) != 1 {
		return "", false
	}
	return names[0], true
}

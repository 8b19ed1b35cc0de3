// Package cases plays the cases of the review: gateways as separate processes, before stand-ins of the
// company platform that run in this process. It exits with 1 if the rule was broken, with 0 if it held and
// with 2 if the case could not run. It is built as a test binary, since only tests may name the platform's
// protocol outside platform/; the underscore of its folder keeps it out of the test run.
package cases

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// A play is one case. It returns what broke the rule, or nothing.
type play func(*stage) (broken []string, err error)

var plays = map[string]play{
	"restarted-versions": playRestartedVersions,
	"silent-store":       playSilentStore,
	"crashed-engine":     playCrashedEngine,
	"stale-seeds":        playStaleSeeds,
	"optional-stage":     playOptionalStage,
}

// longest is how long a case may take. Everything is ended then.
const longest = 110 * time.Second

const (
	held    = 0
	broke   = 1
	cantRun = 2
)

func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME PROGRAM RECORD   (TROUBLE=0 in the environment: without the disruption)")
		return cantRun
	}
	s, err := newStage(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases:", err)
		return cantRun
	}
	defer s.close()
	time.AfterFunc(longest, func() {
		s.notef("the case took too long")
		s.close()
		os.Exit(cantRun)
	})
	broken, err := plays[os.Args[1]](s)
	if err != nil {
		s.notef("the case could not run: %v", err)
		return cantRun
	}
	for _, b := range broken {
		s.notef("broken: %s", b)
	}
	if len(broken) > 0 {
		return broke
	}
	s.notef("the rule held")
	return held
}

// Package cases plays the cases of the second review: each starts the stand-ins, clients and processes of
// the system that it needs, and ends them. It is built as a test binary, since only tests may name the
// platform's protocol outside platform/; the underscore of its folder keeps it out of the test run.
package cases

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// longest is the time that a case may take.
const longest = 110 * time.Second

func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	cases := map[string]func(*bench) int{"restart": runRestart, "parts": runParts, "brittle": runBrittle, "tunnel": runTunnel}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases restart|brittle|parts|tunnel PROGRAM FOLDER")
		return exitNotRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err == nil {
		_, err = os.Stat(program)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs of the processes:", dir)
	}
	r, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	b := &bench{record: r, program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer b.stopAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](b) }()
	select {
	case code := <-result:
		return code
	case <-signals:
		r.sayf("interrupted")
	case <-time.After(longest):
		r.sayf("the case takes too long")
	}
	return exitNotRun
}

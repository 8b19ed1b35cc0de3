package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// asyncLines bounds the lines that wait to be written.
	asyncLines = 4096
	// asyncBatch is how many bytes are written at once, about.
	asyncBatch = 32 << 10
)

// Async is a writer that never blocks: lines wait in a bounded queue, and are dropped
// and counted while it is full.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
	closed  atomic.Bool
}

// NewAsync returns a writer that writes to out from a goroutine of its own.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncLines)}
	a.done.Go(a.run)
	return a
}

// Write implements io.Writer. It takes one line at a time.
func (a *Async) Write(line []byte) (int, error) {
	if a.closed.Load() {
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines dropped so far.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

func (a *Async) run() {
	buffer := make([]byte, 0, asyncBatch)
	for line := range a.lines {
		buffer = append(buffer[:0], line...)
		buffer = a.gather(buffer)
		// Nothing can be done about a log that can't be written.
		_, _ = a.out.Write(buffer)
	}
}

// gather adds the lines that wait.
func (a *Async) gather(buffer []byte) []byte {
	for len(buffer) < asyncBatch {
		select {
		case line, ok := <-a.lines:
			if !ok {
				return buffer
			}
			buffer = append(buffer, line...)
		default:
			return buffer
		}
	}
	return buffer
}

// Close writes what waits and ends the writer. No Write may come after it.
func (a *Async) Close() {
	a.closed.Store(true)
	close(a.lines)
	a.done.Wait()
}

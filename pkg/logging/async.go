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
	closing chan struct{}
	done    sync.WaitGroup
}

// NewAsync returns a writer that writes to out from a goroutine of its own.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncLines), closing: make(chan struct{})}
	a.done.Go(a.run)
	return a
}

// Write implements io.Writer. It takes one line at a time.
func (a *Async) Write(line []byte) (int, error) {
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
	for {
		select {
		case line := <-a.lines:
			buffer = a.write(buffer, line)
		case <-a.closing:
			a.writeRest(buffer)
			return
		}
	}
}

// write writes a line and those that wait behind it.
func (a *Async) write(buffer, line []byte) []byte {
	buffer = append(buffer[:0], line...)
	for len(buffer) < asyncBatch {
		select {
		case next := <-a.lines:
			buffer = append(buffer, next...)
			continue
		default:
		}
		break
	}
	// Nothing can be done about a log that can't be written.
	_, _ = a.out.Write(buffer)
	return buffer
}

func (a *Async) writeRest(buffer []byte) {
	for {
		select {
		case line := <-a.lines:
			buffer = a.write(buffer, line)
		default:
			return
		}
	}
}

// Close writes what waits and ends the writer. Lines that come later are dropped.
func (a *Async) Close() {
	close(a.closing)
	a.done.Wait()
}

package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// asyncQueueLength is the maximum number of queued lines.
	asyncQueueLength = 4096
	// asyncBatchBytes is the approximate maximum size of a write.
	asyncBatchBytes = 32 << 10
)

// Async is a non-blocking writer. Lines are queued, and dropped and counted while the
// queue is full.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	closing chan struct{}
	done    sync.WaitGroup
}

// NewAsync returns a writer that writes to out from a separate goroutine.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncQueueLength), closing: make(chan struct{})}
	a.done.Go(a.run)
	return a
}

// Write implements io.Writer. Each call must write one line.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

func (a *Async) run() {
	buffer := make([]byte, 0, asyncBatchBytes)
	for {
		select {
		case line := <-a.lines:
			buffer = a.write(buffer, line)
		case <-a.closing:
			a.flush(buffer)
			return
		}
	}
}

// write writes a line and the lines queued behind it in one batch.
func (a *Async) write(buffer, line []byte) []byte {
	buffer = append(buffer[:0], line...)
	for len(buffer) < asyncBatchBytes {
		select {
		case next := <-a.lines:
			buffer = append(buffer, next...)
			continue
		default:
		}
		break
	}
	// Errors are ignored: there is no other place to report them.
	_, _ = a.out.Write(buffer)
	return buffer
}

// flush writes the queued lines.
func (a *Async) flush(buffer []byte) {
	for {
		select {
		case line := <-a.lines:
			buffer = a.write(buffer, line)
		default:
			return
		}
	}
}

// Close writes the queued lines and stops the writer. Lines written later are
// discarded.
func (a *Async) Close() {
	close(a.closing)
	a.done.Wait()
}

package replica

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/disk"
)

// errChunk is wrapped by errors that concern only a received snapshot.
var errChunk = errors.New("received snapshot")

// fullRetry is the pause between attempts to write to a full disk.
const fullRetry = 200 * time.Millisecond

// runWriter writes what the loop queued. Writes that queued up while the disk
// was busy share one sync.
func (g *Group) runWriter() {
	defer g.workers.Done()
	var received receiver
	defer received.drop()
	for {
		select {
		case <-g.stop:
			return
		case <-g.writes.ready:
		}
		pending := g.writes.take()
		for len(pending) > 0 {
			k := 0
			var b disk.Batch
			for k < len(pending) && pending[k].simple() {
				b = pending[k].batch(b)
				k++
			}
			if k > 0 {
				g.report(pending[:k], g.writeBatch(b))
			} else {
				k = 1
				g.report(pending[:1], g.writeOther(pending[0].persist, &received))
			}
			pending = pending[k:]
		}
	}
}

func (g *Group) report(ws []write, err error) {
	for _, w := range ws {
		w.err = err
		g.written.put(w)
	}
}

// writeBatch waits while the disk is full. A leader steps down meanwhile, as
// it does with a slow disk.
func (g *Group) writeBatch(b disk.Batch) error {
	for {
		err := g.store.Write(b)
		if !errors.Is(err, disk.ErrFull) {
			return err
		}
		g.options.logger.Error("disk is full", zap.Error(err))
		select {
		case <-g.stop:
			return err
		case <-time.After(fullRetry):
		}
	}
}

func (g *Group) writeOther(p Persist, r *receiver) error {
	if p.Reset != nil {
		if err := g.store.Compact(*p.Reset, p.HardState, p.Entries); err != nil {
			return err
		}
	} else if p.HardState != nil || len(p.Entries) > 0 {
		if err := g.writeBatch(disk.Batch{HardState: p.HardState, Entries: p.Entries}); err != nil {
			return err
		}
	}
	if p.Chunk == nil {
		return nil
	}
	if err := r.add(g.store, *p.Chunk); err != nil {
		r.drop()
		return fmt.Errorf("%w: %w", errChunk, err)
	}
	return nil
}

// receiver gathers the parts of a snapshot that the leader sends.
type receiver struct {
	writer *disk.SnapshotWriter
}

func (r *receiver) drop() {
	if r.writer != nil {
		_ = r.writer.Close()
		r.writer = nil
	}
}

func (r *receiver) add(s *disk.Store, c Chunk) error {
	if c.Offset == 0 {
		r.drop()
		w, err := s.ReceiveSnapshot(c.Info)
		if err != nil {
			return err
		}
		r.writer = w
	}
	if r.writer == nil {
		return errors.New("a part is missing")
	}
	if _, err := r.writer.Write(c.Data); err != nil {
		return err
	}
	if !c.Last {
		return nil
	}
	_, err := r.writer.Finish()
	r.writer = nil
	return err
}

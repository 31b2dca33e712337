package replica

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/disk"
)

// errChunk is wrapped by errors that affect only a received snapshot.
var errChunk = errors.New("received snapshot")

// fullDiskRetryInterval is the interval between attempts to write to a full
// disk.
const fullDiskRetryInterval = 200 * time.Millisecond

// write is a Persist and the messages to send once it is on disk.
type write struct {
	persist      Persist
	afterPersist []Message
	err          error
}

// batchable returns whether the write can be batched with adjacent ones.
func (w write) batchable() bool { return w.persist.Reset == nil && w.persist.Chunk == nil }

func (w write) batch(b disk.Batch) disk.Batch {
	if w.persist.HardState != nil {
		b.HardState = w.persist.HardState
	}
	b.Entries = append(b.Entries, w.persist.Entries...)
	return b
}

// writer owns the log of a store.
type writer struct {
	store    *disk.Store
	received *disk.SnapshotWriter // snapshot being received, or nil
}

// writeNext performs the first pending write, together with the following ones
// that can share its sync. It returns the number of writes performed; the error
// applies to all of them.
func (w *writer) writeNext(pending []write) (int, error) {
	var b disk.Batch
	k := 0
	for k < len(pending) && pending[k].batchable() {
		b = pending[k].batch(b)
		k++
	}
	if k > 0 {
		return k, w.store.Write(b)
	}
	return 1, w.writeSingle(pending[0].persist)
}

func (w *writer) writeSingle(p Persist) error {
	var err error
	if p.Reset != nil {
		err = w.store.Compact(*p.Reset, p.HardState, p.Entries)
	} else {
		err = w.store.Write(disk.Batch{HardState: p.HardState, Entries: p.Entries})
	}
	if err != nil || p.Chunk == nil {
		return err
	}
	if err := w.storeChunk(p.Chunk); err != nil {
		w.discardReceived()
		return fmt.Errorf("%w: %w", errChunk, err)
	}
	return nil
}

// storeChunk stores a chunk of a snapshot. With the last one, it sets the size of
// the state, which is less than that of a transfer with segments.
func (w *writer) storeChunk(c *Chunk) error {
	if c.Offset == 0 {
		w.discardReceived()
		received, err := w.store.ReceiveSnapshot(c.Info)
		if err != nil {
			return err
		}
		w.received = received
	}
	if w.received == nil {
		return errors.New("an earlier chunk is missing")
	}
	if _, err := w.received.Write(c.Data); err != nil {
		return err
	}
	if !c.Last {
		return nil
	}
	info, err := w.received.Finish()
	w.received = nil
	if err == nil {
		c.Info = info
	}
	return err
}

func (w *writer) discardReceived() {
	if w.received != nil {
		_ = w.received.Close()
		w.received = nil
	}
}

// runWriter performs the writes queued by the loop. Writes queued while the
// disk was busy share one sync.
func (g *Group) runWriter() {
	defer g.workers.Done()
	w := writer{store: g.store}
	defer w.discardReceived()
	for {
		select {
		case <-g.stop:
			return
		case <-g.writes.ready:
		}
		for pending := g.writes.takeAll(); len(pending) > 0; {
			k, err := g.writeWithRetry(&w, pending)
			for _, x := range pending[:k] {
				x.err = err
				g.written.put(x)
			}
			pending = pending[k:]
		}
	}
}

// writeWithRetry retries while the disk is full. Meanwhile a leader steps down,
// as with any stalled disk.
func (g *Group) writeWithRetry(w *writer, pending []write) (int, error) {
	for {
		k, err := w.writeNext(pending)
		if !errors.Is(err, disk.ErrFull) {
			return k, err
		}
		g.options.logger.Error("disk is full; retrying the write", zap.Error(err))
		select {
		case <-g.stop:
			return k, err
		case <-time.After(fullDiskRetryInterval):
		}
	}
}

package replica

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/disk"
)

// yieldEntries is the number of entries after which the applier lets other goroutines
// run. A replay of 9,000 entries took 260 ms of a small processor, in which followers
// answered no heartbeat and the new leader stepped down.
const yieldEntries = 16

// applyItem is work for the applier, which restores the snapshot, if any, and
// applies the entries. The reads are completed once the entry at readIndex is
// applied.
type applyItem struct {
	restore   *disk.SnapshotInfo
	entries   []disk.Entry
	readIndex uint64
	reads     []*request
}

// applier owns the state machine.
type applier struct {
	group   *Group
	applied uint64
	term    uint64      // term of the entry at applied
	members []byte      // encoded membership at applied
	reads   []applyItem // items whose readIndex is not applied yet

	// Number of entries applied since the last snapshot, and bytes of their data.
	entriesSinceSnapshot int
	bytesSinceSnapshot   int64
	savingSnapshot       atomic.Bool // a captured snapshot is being written
	syncing              atomic.Bool // the segments are being synced
}

func newApplier(g *Group, r disk.Recovered) (*applier, error) {
	a := &applier{group: g, applied: r.Base.Index, term: r.Base.Term, members: r.Base.Members}
	switch {
	case r.Snapshot.Index > 0:
		if err := a.restore(r.Snapshot); err != nil {
			return nil, err
		}
	case g.store.Segments() != nil:
		if err := g.store.Segments().Retain(nil); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (a *applier) restore(info disk.SnapshotInfo) error {
	f, err := a.group.store.OpenSnapshot(info)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := a.group.stateMachine.Restore(f); err != nil {
		return fmt.Errorf("restore snapshot %d: %w", info.Index, err)
	}
	a.applied, a.term, a.members = info.Index, info.Term, info.Members
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	return nil
}

func (a *applier) run() {
	g := a.group
	defer g.workers.Done()
	defer a.rejectReads()
	for {
		select {
		case <-g.stop:
			return
		case <-g.toApply.ready:
		}
		for _, item := range g.toApply.takeAll() {
			if err := a.handle(item); err != nil {
				g.shutDown(err)
				return
			}
		}
	}
}

func (a *applier) handle(item applyItem) error {
	if item.restore != nil {
		if err := a.restore(*item.restore); err != nil {
			return err
		}
	}
	if len(item.reads) > 0 {
		a.reads = append(a.reads, item)
	}
	for i, e := range item.entries {
		if a.stopping() {
			return nil
		}
		if i%yieldEntries == yieldEntries-1 {
			runtime.Gosched()
		}
		e, err := a.group.store.LoadEntry(e)
		if errors.Is(err, disk.ErrCompacted) {
			break // replaced by a received snapshot, which is restored next
		}
		if err != nil {
			return fmt.Errorf("apply: %w", err)
		}
		a.apply(e)
		a.syncIfDue()
		a.snapshotIfDue()
	}
	if a.stopping() {
		return nil
	}
	a.finishReads()
	a.snapshotIfDue()
	return nil
}

// syncIfDue syncs the segments in the background, if there are any.
func (a *applier) syncIfDue() {
	s := a.group.store.Segments()
	if s == nil || !s.SyncDue() || !a.syncing.CompareAndSwap(false, true) {
		return
	}
	a.group.workers.Go(func() {
		defer a.syncing.Store(false)
		if err := s.Sync(); err != nil {
			a.group.shutDown(err)
		}
	})
}

// stopping returns whether the replica is stopping. Its state may then be wrong, since
// a command that fails on this replica alone stops it (see Group.Fail).
func (a *applier) stopping() bool {
	select {
	case <-a.group.stop:
		return true
	default:
		return false
	}
}

func (a *applier) snapshotIfDue() {
	if a.stopping() {
		return // a snapshot of a wrong state must not replace the last one
	}
	o := a.group.options
	due := a.entriesSinceSnapshot >= o.snapshotEntries || a.bytesSinceSnapshot >= o.snapshotBytes
	if due && !a.group.sendingSnapshot.Load() && !a.savingSnapshot.Load() {
		a.takeSnapshot()
	}
}

func (a *applier) apply(e disk.Entry) {
	var result []byte
	switch e.Kind {
	case disk.Command:
		result = a.group.stateMachine.Apply(e.Index, e.UnixMillis, e.Data)
	case disk.Membership:
		a.members = e.Data
	case disk.NoOp:
	}
	a.applied, a.term = e.Index, e.Term
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += int64(len(e.Data))
	a.group.proposals.complete(e.Index, e.Term, result)
}

func (a *applier) finishReads() {
	kept := a.reads[:0]
	for _, item := range a.reads {
		if item.readIndex > a.applied {
			kept = append(kept, item)
			continue
		}
		for _, r := range item.reads {
			r.finish(nil, nil)
		}
	}
	a.reads = kept
}

func (a *applier) rejectReads() {
	for _, item := range append(a.reads, a.group.toApply.takeAll()...) {
		for _, r := range item.reads {
			r.finish(nil, a.group.unavailable())
		}
	}
}

// takeSnapshot takes a snapshot, in the background if the state machine is a
// Capturer.
func (a *applier) takeSnapshot() {
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	g := a.group
	info := disk.SnapshotInfo{Index: a.applied, Term: a.term, Members: a.members}
	c, ok := g.stateMachine.(Capturer)
	if !ok {
		g.saveSnapshot(info, g.stateMachine.Snapshot)
		return
	}
	write := c.Capture()
	a.savingSnapshot.Store(true)
	g.workers.Go(func() {
		defer a.savingSnapshot.Store(false)
		g.saveSnapshot(info, write)
	})
}

// saveSnapshot writes a snapshot. A failure, such as a full disk, is not fatal,
// since the log still contains all entries. It is if the segments could not be
// synced: what they have lost must be written again from the log.
func (g *Group) saveSnapshot(info disk.SnapshotInfo, write func(io.Writer) error) {
	saved, err := g.writeSnapshot(info, write)
	if errors.Is(err, disk.ErrStopped) {
		g.shutDown(err)
		return
	}
	if err != nil {
		g.options.logger.Error("save snapshot failed", zap.Error(err))
		return
	}
	g.savedSnapshots.put(saved)
}

func (g *Group) writeSnapshot(info disk.SnapshotInfo, write func(io.Writer) error) (disk.SnapshotInfo, error) {
	w, err := g.store.CreateSnapshot(info)
	if err != nil {
		return disk.SnapshotInfo{}, err
	}
	if err := write(w); err != nil {
		return disk.SnapshotInfo{}, errors.Join(err, w.Close())
	}
	return w.Finish()
}

package replica

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/disk"
)

// maxTransferWait limits how long Close waits for the transfer of leadership,
// since the target may have stopped at the same time.
const maxTransferWait = time.Second

// loop owns the node and handles its events sequentially.
func (g *Group) loop() {
	defer g.workers.Done()
	defer g.finishRequests()
	ticker := time.NewTicker(g.options.timing.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	closing := g.closing
	var deadline <-chan time.Time
	for {
		select {
		case <-g.stop:
			return
		case <-closing:
			closing = nil
			deadline = time.After(min(g.options.timing.Election, maxTransferWait))
			g.transferLeadership()
		case <-deadline:
			g.shutDown(nil)
		case <-g.inbox.ready:
			for _, m := range g.inbox.takeAll() {
				g.handle(g.node.Step(g.now(), m))
			}
		case <-g.requests.ready:
			g.takeRequests()
		case <-g.written.ready:
			g.takeWritten()
		case <-g.savedSnapshots.ready:
			for _, info := range g.savedSnapshots.takeAll() {
				g.handle(g.node.Compact(g.now(), info, g.options.keepEntries))
			}
		case <-ticker.C:
			if ids := g.joinPeers.Load(); ids != nil {
				g.node.SetJoinPeers(*ids)
			}
			if ids := g.retiring.Load(); ids != nil {
				g.node.SetRetiring(*ids)
			}
			if ids := g.desired.Load(); ids != nil {
				g.node.SetDesiredMembers(*ids)
			}
			g.node.SetDiskLevel(int(g.diskLevel.Load()))
			g.handle(g.node.Tick(g.now()))
			g.status.Store(g.node.status(g.now()))
		}
		if closing == nil && g.node.Role() != Leader {
			g.shutDown(nil)
		}
	}
}

func (g *Group) transferLeadership() {
	out, ok := g.node.TransferLeadership(g.now())
	g.handle(out)
	if !ok {
		g.shutDown(nil)
	}
}

// finishRequests fails the requests that are pending when the loop ends.
func (g *Group) finishRequests() {
	for _, r := range g.requests.takeAll() {
		if r.claimed.CompareAndSwap(false, true) {
			r.finish(nil, g.unavailable())
		}
	}
	for _, rs := range g.pendingReads {
		for _, r := range rs {
			r.finish(nil, g.unavailable())
		}
	}
	g.proposals.failAbove(0, "the replica stopped before the proposal was applied")
}

// takeRequests proposes all queued commands in one batch, so that they share
// one disk write, and confirms all queued reads by one heartbeat round.
func (g *Group) takeRequests() {
	var proposals, reads []*request
	var commands [][]byte
	for _, r := range g.requests.takeAll() {
		switch {
		case !r.claimed.CompareAndSwap(false, true):
		case r.read:
			reads = append(reads, r)
		default:
			proposals = append(proposals, r)
			commands = append(commands, r.command)
		}
	}
	g.propose(proposals, commands)
	if len(reads) > 0 {
		g.lastReadID++
		g.pendingReads[g.lastReadID] = reads
		g.handle(g.node.ReadIndex(g.now(), g.lastReadID))
	}
}

func (g *Group) propose(requests []*request, commands [][]byte) {
	if len(requests) == 0 {
		return
	}
	first, out := g.node.Propose(g.now(), commands)
	if first == 0 {
		leader, _ := g.node.Leader()
		for _, r := range requests {
			r.finish(nil, notLeader(leader))
		}
	} else {
		for i, r := range requests {
			g.proposals.add(first+uint64(i), g.node.Term(), r)
		}
	}
	g.handle(out)
}

// handle performs the I/O requested by an output of the node.
func (g *Group) handle(out Output) {
	if out.Fatal != nil {
		g.shutDown(out.Fatal)
		return
	}
	g.send(out.Immediate)
	for _, c := range out.Chunks {
		g.sendChunk(c)
	}
	if out.Persist.empty() && g.pendingWrites == 0 {
		g.send(out.AfterPersist)
	} else if !out.Persist.empty() || len(out.AfterPersist) > 0 {
		g.pendingWrites++
		g.writes.put(write{persist: out.Persist, afterPersist: out.AfterPersist})
	}
	if out.Restore != nil || len(out.Apply) > 0 {
		g.toApply.put(applyItem{restore: out.Restore, entries: out.Apply})
	}
	for _, r := range out.Reads {
		g.finishRead(r)
	}
	g.publishLeader()
}

func (g *Group) finishRead(r ReadResult) {
	requests := g.pendingReads[r.ID]
	delete(g.pendingReads, r.ID)
	if !r.Rejected {
		g.toApply.put(applyItem{readIndex: r.Index, reads: requests})
		return
	}
	leader, _ := g.node.Leader()
	for _, q := range requests {
		q.finish(nil, notLeader(leader))
	}
}

// publishLeader publishes the current leader, the term in which this replica
// leads, and whether a snapshot is being sent. If this replica has lost
// leadership, it also fails the pending proposals, whose outcome is unknown.
func (g *Group) publishLeader() {
	g.publishTerm()
	sending := g.node.SendingSnapshot()
	g.sendingSnapshot.Store(sending)
	if !sending {
		g.closeTransfer()
	}
	leader, _ := g.node.Leader()
	previous := g.leader.Load()
	if previous != nil && *previous == leader {
		return
	}
	self := g.node.Self
	if previous != nil && *previous == self {
		// This includes proposals that are committed but not on the local disk
		// yet: if the disk has stalled, they would be applied too late for their
		// callers.
		g.proposals.failAbove(g.node.Applied(), "leadership was lost before the proposal was applied")
	}
	g.leader.Store(&leader)
	g.options.logger.Info("leader changed", zap.String("leader", leader.ID), zap.Uint64("term", g.node.Term()))
}

// send sends messages. It loads the data of entries that is not in memory.
func (g *Group) send(ms []Message) {
	for _, m := range ms {
		entries, err := loadEntries(g.store, m.Entries)
		if err != nil {
			g.shutDown(err)
			return
		}
		m.Entries = entries
		g.transport.Send(m)
	}
}

// loadEntries returns entries with their data.
func loadEntries(store *disk.Store, entries []disk.Entry) ([]disk.Entry, error) {
	if !slices.ContainsFunc(entries, func(e disk.Entry) bool { return e.Size > 0 }) {
		return entries, nil
	}
	loaded := make([]disk.Entry, len(entries))
	for i, e := range entries {
		var err error
		if loaded[i], err = store.LoadEntry(e); err != nil {
			return nil, fmt.Errorf("send: %w", err)
		}
	}
	return loaded, nil
}

func (g *Group) sendChunk(c ChunkRead) {
	if g.transfer != nil && g.transfer.Info().Index != c.Info.Index {
		g.closeTransfer()
	}
	if g.transfer == nil {
		g.transfer = g.store.OpenTransfer(c.Info)
	}
	var err error
	if c.Message.Data, c.Message.Last, err = g.transfer.ReadChunk(c.Message.Offset, chunkBytes); err != nil {
		g.options.logger.Warn("read snapshot chunk failed", zap.Error(err))
		return
	}
	g.transport.Send(c.Message)
}

func (g *Group) closeTransfer() {
	if g.transfer != nil {
		g.transfer.Close()
		g.transfer = nil
	}
}

func (g *Group) takeWritten() {
	for _, w := range g.written.takeAll() {
		g.pendingWrites--
		switch {
		case errors.Is(w.err, errChunk) && errors.Is(w.err, syscall.ENOSPC) && g.store.Segments() != nil && g.store.Segments().Bytes() > 0:
			// The segments of the outdated state take the space for the newer one.
			g.shutDown(fmt.Errorf("%w: no space for a snapshot beside the present state: %w", disk.ErrDamaged, w.err))
			return
		case errors.Is(w.err, errChunk):
			g.options.logger.Warn("store snapshot chunk failed", zap.Error(w.err))
			g.handle(g.node.ChunkFailed(g.now(), w.persist))
		case w.err != nil:
			g.shutDown(w.err)
			return
		default:
			g.send(w.afterPersist)
			if !w.persist.empty() {
				g.handle(g.node.Persisted(g.now(), w.persist))
			}
		}
	}
}

package cluster

import (
	"sync/atomic"
	"time"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// The fractions of the disk from which on a ledger host refuses first turns, and
// all reservations. What is left is for the turns that are reserved already, for
// snapshots and for the log while it is rewritten.
const (
	refuseFirstTurnsFraction = 0.90
	refuseAllTurnsFraction   = 0.96
	// resumeFraction of the disk must be free again before fewer turns are refused.
	resumeFraction = 0.02
	// diskRetryAfter is how long a refused caller waits. Bodies expire all the time.
	diskRetryAfter = 2 * time.Second
)

// refusedTurns tells which reservations a ledger host refuses.
type refusedTurns int32

const (
	refuseNone refusedTurns = iota
	refuseFirst
	refuseAll
)

// String returns the name of the refused turns.
func (r refusedTurns) String() string { return [...]string{"none", "first turns", "all turns"}[r] }

// diskLevel decides which turns are refused for lack of disk. It is decided before a
// command is proposed, so that all replicas apply the same commands.
type diskLevel struct{ level atomic.Int32 }

func (d *diskLevel) refused() refusedTurns { return refusedTurns(d.level.Load()) }

// update sets the level for the bytes used, and returns whether it has changed. A
// limit of 0 means that there is none.
func (d *diskLevel) update(used, limit int64) bool {
	old, level := d.refused(), refuseNone
	if limit > 0 {
		level = levelOf(float64(used) / float64(limit))
		if level < old {
			level = min(old, levelOf(float64(used)/float64(limit)+resumeFraction))
		}
	}
	d.level.Store(int32(level))
	return level != old
}

func levelOf(fraction float64) refusedTurns {
	switch {
	case fraction >= refuseAllTurnsFraction:
		return refuseAll
	case fraction >= refuseFirstTurnsFraction:
		return refuseFirst
	}
	return refuseNone
}

// packSkipsAfterFailure is the number of turns that are not packed after one that
// could not be compressed, to save CPU time.
const packSkipsAfterFailure = 31

// pack compresses a turn before it is proposed.
func (h *LedgerHost) pack(k *ledger.KeptTurn) {
	if len(k.Input)+len(k.Output) < ledger.MinPackBytes || h.packSkips.Add(-1) >= 0 {
		return
	}
	h.packSkips.Store(0)
	if !k.Pack() {
		h.packSkips.Store(packSkipsAfterFailure)
	}
}

// diskBytes returns the size of the logs and segments of this host.
func (h *LedgerHost) diskBytes() int64 {
	used := int64(0)
	for _, p := range h.allPartitions() {
		used += p.group.DiskBytes()
	}
	return used
}

// checkDisk refuses a reservation on a leader if its disk, or that of another replica
// of the partition, is nearly full: first turns before those that continue a conversation or a stream.
func (h *LedgerHost) checkDisk(r reserveRequest) *ledger.Refusal {
	p := h.partition(r.Partition)
	if p == nil || requireLeader(p.group) != nil {
		return nil
	}
	refused := refusedTurns(p.group.Status().DiskLevel)
	first := r.Previous == "" && !r.Elsewhere && r.Resumes == ""
	if refused == refuseNone || refused == refuseFirst && !first {
		return nil
	}
	h.config.Metrics.Tagged(map[string]string{"refused": refused.String()}).Counter("ledger-disk-refusals").Inc(1)
	return &ledger.Refusal{
		Verdict: verdict.NotRun, Reason: verdict.Overloaded, Message: "a disk of the ledger is nearly full; refused: " + refused.String(),
		RetryAfter: diskRetryAfter.Milliseconds(),
	}
}

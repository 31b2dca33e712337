package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/bootclock"
)

const (
	// sharedReadAge is the time for which polls share a read of the log. Hundreds of
	// entry hosts ask for one every syncInterval.
	sharedReadAge = 100 * time.Millisecond
	// sharedReadTimeout bounds a read, which delays the response to a poll.
	sharedReadTimeout = 150 * time.Millisecond
)

// sharedRead knows when the leader of a log has last confirmed with a majority that
// its state is the newest.
type sharedRead struct {
	mu        sync.Mutex
	begunAt   time.Duration // of the last read
	confirmed bool          // a read has succeeded
	at        time.Duration // beginning of the last read that has succeeded
}

// age returns the time since the beginning of the last successful read, which it
// repeats if the last one is older than sharedReadAge. It returns false if that
// fails. The clock counts the suspension of the host: a host that was suspended may
// have missed changes of the log.
func (s *sharedRead) age(ctx context.Context, clock func() time.Duration, read func(ctx context.Context) error) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := clock(); s.begunAt == 0 || now-s.begunAt >= sharedReadAge {
		s.begunAt = now
		ctx, cancel := context.WithTimeout(ctx, sharedReadTimeout)
		defer cancel()
		if err := read(ctx); err != nil {
			return 0, false
		}
		s.confirmed, s.at = true, now
	}
	if !s.confirmed || s.at != s.begunAt {
		return 0, false
	}
	return clock() - s.at, true
}

// confirmTable returns the time since a majority has confirmed that this host, as
// the leader, has the newest table. It returns false on other hosts, which may be
// cut off from the log.
func (h *Host) confirmTable(ctx context.Context) (time.Duration, bool) {
	if h.requireLeader() != nil {
		return 0, false
	}
	return h.read.age(ctx, bootclock.Now, h.group.Read)
}

// tableConfirmation is the knowledge of an entry host about the newest routing
// table: its version at a time of bootclock.Now.
type tableConfirmation struct {
	version int64
	at      time.Duration
}

// covers reports whether a table of a version was the newest within the last limit.
func (c *tableConfirmation) covers(version int64, now, limit time.Duration) bool {
	return c != nil && version >= c.version && now-c.at <= limit
}

// KeysCurrent reports whether keys may be looked up in the table in force: always,
// unless revocation is strict. Then the leader of the control hosts must have
// confirmed within LinkConfig.StrictRevocation that the table is the newest.
func (l *Link) KeysCurrent() bool {
	if l.config.StrictRevocation == 0 {
		return true
	}
	x := l.index.Load()
	return x != nil && l.confirmation.Load().covers(x.Version(), bootclock.Now(), l.config.StrictRevocation)
}

// confirmationInterval returns the longest delay between two polls of a control host
// with which some of its responses may be lost before the confirmation of the table
// is too old. It is short if the host leads the log and the limit is short.
func (l *Link) confirmationInterval(h *controlHost) time.Duration {
	if !l.wantsConfirmation() {
		return syncInterval
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.controlLeader.id != h.id {
		return syncInterval
	}
	return max(sharedReadAge, l.config.StrictRevocation/4)
}

// wantsConfirmation reports whether polls ask if the table is the newest. Before the
// first table they do, so that a host that has just started serves as soon as it has
// one.
func (l *Link) wantsConfirmation() bool {
	x := l.index.Load()
	return l.config.StrictRevocation > 0 && (x == nil || x.HasWorkspaces())
}

// confirmTable records the confirmation in the response to a poll that was sent at a
// time of bootclock.Now. The caller holds l.mu.
func (l *Link) confirmTable(r *syncResponse, sentAt time.Duration) {
	if r.ConfirmedAge == nil || *r.ConfirmedAge < 0 || r.Provisional {
		return
	}
	next := &tableConfirmation{version: r.TableVersion, at: sentAt - *r.ConfirmedAge}
	if c := l.confirmation.Load(); c == nil || next.at > c.at {
		l.confirmation.Store(next)
	}
}

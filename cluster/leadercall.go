package cluster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// attemptTimeout bounds one request to a leader, so that connections to a host
	// that became unreachable without a TCP reset are replaced.
	attemptTimeout = 1200 * time.Millisecond
	// leaderRetryDelay is the delay between two attempts to reach a leader. A
	// redirect to the leader is followed without delay.
	leaderRetryDelay = 30 * time.Millisecond
	// silentLeaderDelay is the time without an answer after which the other replicas
	// are asked as well. A commit takes some 50 ms; an election begins 400 ms after the
	// leader is lost, and its result should be known soon after it.
	silentLeaderDelay = 250 * time.Millisecond
	// silentLeaderInterval is the interval between these attempts, which may carry the
	// input of a turn.
	silentLeaderInterval = 100 * time.Millisecond
)

// leaderSearch decides which replicas of a partition are asked, and in which order,
// until the leader answers. It answers a leader that is cut off or frozen: calls
// that it has do not wait for it, but go to its successor as soon as there is one.
// It has no clock and no network.
type leaderSearch struct {
	hint    string          // the presumed leader, or empty
	tried   map[string]bool // hosts that have been asked in this round
	waiting map[string]bool // hosts that have not answered yet
}

func newLeaderSearch(hint string) *leaderSearch {
	return &leaderSearch{hint: hint, tried: map[string]bool{}, waiting: map[string]bool{}}
}

// next returns the next host to ask, or "" if all have been asked in this round. The
// next call begins another round then. known is the newest leader known otherwise;
// it is asked first if it is another one than before.
func (s *leaderSearch) next(known string, members []string) string {
	for _, id := range slices.Concat([]string{s.hint, known}, members) {
		if id != "" && !s.tried[id] && !s.waiting[id] {
			s.tried[id], s.waiting[id] = true, true
			return id
		}
	}
	clear(s.tried)
	return ""
}

// redirected records that a host has answered that it is not the leader, and which
// host it takes for the leader. It reports whether that one should be asked at once.
func (s *leaderSearch) redirected(id, leader string) bool {
	delete(s.waiting, id)
	if leader == "" || s.waiting[leader] {
		return false
	}
	s.hint = leader
	return !s.tried[leader]
}

// failed records that a request to a host has failed.
func (s *leaderSearch) failed(id string) {
	delete(s.waiting, id)
	if s.hint == id {
		s.hint = ""
	}
}

// delay returns the time until the next host is asked, unless one answers before.
func (s *leaderSearch) delay(asked string) time.Duration {
	switch {
	case len(s.waiting) == 0:
		return leaderRetryDelay
	case len(s.waiting) == 1 && s.waiting[asked]:
		return silentLeaderDelay
	default:
		return silentLeaderInterval
	}
}

// leaderAnswer is the answer of a replica.
type leaderAnswer struct {
	host string
	body cborwire.Raw
	err  error
}

// callLeader asks the hosts of a partition until the leader answers or the context
// ends. The command may be applied twice.
func (l *Link) callLeader(ctx context.Context, partition int, method string, params, result any) error {
	attempts, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan leaderAnswer)
	s := newLeaderSearch(l.leader(partition))
	maybeSent := false
	var lastErr error
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			id := l.askNext(attempts, s, partition, method, params, answers)
			timer.Reset(s.delay(id))
		case a := <-answers:
			if a.err == nil {
				l.setLeader(partition, a.host)
				return cborwire.Unmarshal(a.body, result)
			}
			lastErr = a.err
			var notLeader *control.NotLeaderError
			if errors.As(a.err, &notLeader) {
				if s.redirected(a.host, notLeader.Leader()) {
					timer.Reset(0)
					continue
				}
			} else {
				maybeSent = maybeSent || mayHaveBeenSent(a.err)
				s.failed(a.host)
			}
			if len(s.waiting) == 0 {
				timer.Reset(leaderRetryDelay)
			}
		case <-ctx.Done():
			v := verdict.NotRun
			if maybeSent || len(s.waiting) > 0 {
				v = verdict.MayHaveRun
			}
			return verdict.New(v, verdict.ControlUnavailable, fmt.Sprintf("no leader of ledger partition %d answered in time", partition), verdict.WithCause(lastErr))
		}
	}
}

// mayHaveBeenSent reports whether a request that has failed may be applied later.
func mayHaveBeenSent(err error) bool {
	return !control.Unsent(err) && verdict.Of(err) != verdict.NotRun
}

// askNext sends the request to the next host and returns its id, which is empty if
// there is none.
func (l *Link) askNext(ctx context.Context, s *leaderSearch, partition int, method string, params any, answers chan<- leaderAnswer) string {
	for {
		id := s.next(l.leader(partition), l.members(partition))
		if id == "" {
			return ""
		}
		p := l.ledgerPeer(id)
		if p == nil {
			s.failed(id)
			continue
		}
		go func() {
			a := leaderAnswer{host: id}
			a.err = l.callHost(ctx, p, method, params, &a.body)
			select {
			case answers <- a:
			case <-ctx.Done():
			}
		}()
		return id
	}
}

func (l *Link) callHost(ctx context.Context, p *control.Peer, method string, params, result any) error {
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := p.Call(attempt, method, params, result)
	if err != nil && attempt.Err() != nil && ctx.Err() == nil {
		p.Reset()
	}
	return err
}

// ledgerPeer returns the client of a ledger host, or nil if the host is not known.
func (l *Link) ledgerPeer(id string) *control.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledgerHosts[id]
}

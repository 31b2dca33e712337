package faults

import (
	"slices"
	"time"
)

// Link is the direction from one host to another.
type Link struct {
	From, To string
}

// Network carries messages between hosts in virtual time. The links can be
// cut one way, delay, duplicate and reorder. It is not safe for concurrent
// use.
type Network[M any] struct {
	random Random
	cut    map[Link]bool
	inflight []inflightMessage[M]
	sent   int
	// Delay is the shortest time a message takes, and Spread the most that is
	// added at random, which reorders messages.
	Delay, Jitter time.Duration
	// DuplicatePercent and LosePercent of the messages arrive twice or never.
	DuplicatePercent, LossPercent int
}

type inflightMessage[M any] struct {
	link    Link
	at      time.Duration
	sequence  int
	message M
}

// NewNetwork returns a network that loses nothing and delays by 1 ms.
func NewNetwork[M any](r Random) *Network[M] {
	return &Network[M]{random: r, cut: map[Link]bool{}, Delay: time.Millisecond}
}

// Cut loses all messages from one host to another from now on, those on their
// way too.
func (n *Network[M]) Cut(from, to string) { n.cut[Link{from, to}] = true }

// Isolate cuts a host off in both directions.
func (n *Network[M]) Isolate(host string, others ...string) {
	for _, o := range others {
		if o != host {
			n.Cut(host, o)
			n.Cut(o, host)
		}
	}
}

// Heal restores all links.
func (n *Network[M]) Heal() { clear(n.cut) }

// ClearImpairments ends delays, duplicates and losses.
func (n *Network[M]) ClearImpairments() {
	n.Jitter, n.DuplicatePercent, n.LossPercent = 0, 0, 0
}

// Send puts a message on its way.
func (n *Network[M]) Send(now time.Duration, from, to string, m M) {
	if n.chance(n.LossPercent) {
		return
	}
	n.enqueue(now, Link{from, to}, m)
	if n.chance(n.DuplicatePercent) {
		n.enqueue(now, Link{from, to}, m)
	}
}

func (n *Network[M]) chance(p int) bool { return p > 0 && n.random.IntN(100) < p }

func (n *Network[M]) enqueue(now time.Duration, l Link, m M) {
	at := now + n.Delay
	if n.Jitter > 0 {
		at += time.Duration(n.random.IntN(int(n.Jitter)))
	}
	n.sent++
	n.inflight = append(n.inflight, inflightMessage[M]{link: l, at: at, sequence: n.sent, message: m})
}

// Next returns when the next message arrives, and false if none is on its way.
func (n *Network[M]) Next() (time.Duration, bool) {
	i := n.nextIndex()
	if i < 0 {
		return 0, false
	}
	return n.inflight[i].at, true
}

func (n *Network[M]) nextIndex() int {
	best := -1
	for i, f := range n.inflight {
		if best < 0 || f.at < n.inflight[best].at || f.at == n.inflight[best].at && f.sequence < n.inflight[best].sequence {
			best = i
		}
	}
	return best
}

// Receive takes the next message that has arrived by now, and returns false if
// there is none.
func (n *Network[M]) Receive(now time.Duration) (to string, m M, ok bool) {
	for {
		i := n.nextIndex()
		if i < 0 || n.inflight[i].at > now {
			var none M
			return "", none, false
		}
		f := n.inflight[i]
		n.inflight = slices.Delete(n.inflight, i, i+1)
		if !n.cut[f.link] {
			return f.link.To, f.message, true
		}
	}
}

package faults

import (
	"slices"
	"time"
)

// Link is one direction of the connection between two hosts.
type Link struct {
	From, To string
}

// Network delivers messages between hosts in virtual time. It can delay,
// reorder, duplicate and lose messages, and links can be cut in one direction.
// It is not safe for concurrent use.
type Network[M any] struct {
	random       Random
	cut          map[Link]bool
	inflight     []inflightMessage[M]
	lastSequence int
	// Delay is the minimum latency. Jitter is the maximum random latency added to
	// it, which reorders messages.
	Delay, Jitter time.Duration
	// DuplicatePercent and LossPercent are the probabilities that a message is
	// delivered twice or lost.
	DuplicatePercent, LossPercent int
}

type inflightMessage[M any] struct {
	link      Link
	arrivesAt time.Duration
	sequence  int // order in which the messages were sent
	message   M
}

// NewNetwork returns a network without loss and with a latency of 1 ms.
func NewNetwork[M any](r Random) *Network[M] {
	return &Network[M]{random: r, cut: map[Link]bool{}, Delay: time.Millisecond}
}

// Cut cuts the link from one host to another. Until Heal is called, messages
// that would arrive over it are lost, including those already in flight.
func (n *Network[M]) Cut(from, to string) { n.cut[Link{from, to}] = true }

// Isolate cuts the links between a host and the others in both directions.
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

// ClearImpairments disables random delay, duplication and loss.
func (n *Network[M]) ClearImpairments() {
	n.Jitter, n.DuplicatePercent, n.LossPercent = 0, 0, 0
}

// Send sends a message at the given virtual time.
func (n *Network[M]) Send(now time.Duration, from, to string, m M) {
	if n.chance(n.LossPercent) {
		return
	}
	n.enqueue(now, Link{from, to}, m)
	if n.chance(n.DuplicatePercent) {
		n.enqueue(now, Link{from, to}, m)
	}
}

func (n *Network[M]) chance(percent int) bool { return percent > 0 && n.random.IntN(100) < percent }

func (n *Network[M]) enqueue(now time.Duration, l Link, m M) {
	at := now + n.Delay
	if n.Jitter > 0 {
		at += time.Duration(n.random.IntN(int(n.Jitter)))
	}
	n.lastSequence++
	n.inflight = append(n.inflight, inflightMessage[M]{link: l, arrivesAt: at, sequence: n.lastSequence, message: m})
}

// Next returns the arrival time of the next message, and false if no message is
// in flight.
func (n *Network[M]) Next() (time.Duration, bool) {
	i := n.nextIndex()
	if i < 0 {
		return 0, false
	}
	return n.inflight[i].arrivesAt, true
}

func (n *Network[M]) nextIndex() int {
	best := -1
	for i, f := range n.inflight {
		if best < 0 || f.arrivesAt < n.inflight[best].arrivesAt || f.arrivesAt == n.inflight[best].arrivesAt && f.sequence < n.inflight[best].sequence {
			best = i
		}
	}
	return best
}

// Receive removes and returns the next message that has arrived by now over a
// link that is not cut, and false if there is none.
func (n *Network[M]) Receive(now time.Duration) (to string, m M, ok bool) {
	for {
		i := n.nextIndex()
		if i < 0 || n.inflight[i].arrivesAt > now {
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

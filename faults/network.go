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
	random Random
	cut    map[Link]bool
	flying []flight[M]
	sent   int
	// Delay is the minimum latency. Spread is the maximum random latency added to
	// it, which reorders messages.
	Delay, Spread time.Duration
	// DuplicatePercent and LosePercent are the probabilities that a message is
	// delivered twice or lost.
	DuplicatePercent, LosePercent int
}

type flight[M any] struct {
	link    Link
	at      time.Duration
	number  int
	message M
}

// NewNetwork returns a network without loss and with a latency of 1 ms.
func NewNetwork[M any](r Random) *Network[M] {
	return &Network[M]{random: r, cut: map[Link]bool{}, Delay: time.Millisecond}
}

// Cut drops all messages from one host to another that would arrive from now on,
// including those in flight.
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

// Quiet disables random delay, duplication and loss.
func (n *Network[M]) Quiet() {
	n.Spread, n.DuplicatePercent, n.LosePercent = 0, 0, 0
}

// Send sends a message at the given virtual time.
func (n *Network[M]) Send(now time.Duration, from, to string, m M) {
	if n.percent(n.LosePercent) {
		return
	}
	n.launch(now, Link{from, to}, m)
	if n.percent(n.DuplicatePercent) {
		n.launch(now, Link{from, to}, m)
	}
}

func (n *Network[M]) percent(p int) bool { return p > 0 && n.random.IntN(100) < p }

func (n *Network[M]) launch(now time.Duration, l Link, m M) {
	at := now + n.Delay
	if n.Spread > 0 {
		at += time.Duration(n.random.IntN(int(n.Spread)))
	}
	n.sent++
	n.flying = append(n.flying, flight[M]{link: l, at: at, number: n.sent, message: m})
}

// Next returns the arrival time of the next message, and false if none is in
// flight.
func (n *Network[M]) Next() (time.Duration, bool) {
	i := n.first()
	if i < 0 {
		return 0, false
	}
	return n.flying[i].at, true
}

func (n *Network[M]) first() int {
	best := -1
	for i, f := range n.flying {
		if best < 0 || f.at < n.flying[best].at || f.at == n.flying[best].at && f.number < n.flying[best].number {
			best = i
		}
	}
	return best
}

// Receive removes and returns the next message that has arrived by now, and
// false if there is none.
func (n *Network[M]) Receive(now time.Duration) (to string, m M, ok bool) {
	for {
		i := n.first()
		if i < 0 || n.flying[i].at > now {
			var none M
			return "", none, false
		}
		f := n.flying[i]
		n.flying = slices.Delete(n.flying, i, i+1)
		if !n.cut[f.link] {
			return f.link.To, f.message, true
		}
	}
}

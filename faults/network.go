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
	flying []flight[M]
	sent   int
	// Delay is the shortest time a message takes, and Spread the most that is
	// added at random, which reorders messages.
	Delay, Spread time.Duration
	// DuplicatePercent and LosePercent of the messages arrive twice or never.
	DuplicatePercent, LosePercent int
}

type flight[M any] struct {
	link    Link
	at      time.Duration
	number  int
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

// Quiet ends delays, duplicates and losses.
func (n *Network[M]) Quiet() {
	n.Spread, n.DuplicatePercent, n.LosePercent = 0, 0, 0
}

// Send puts a message on its way.
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

// Next returns when the next message arrives, and false if none is on its way.
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

// Receive takes the next message that has arrived by now, and returns false if
// there is none.
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

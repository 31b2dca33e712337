package control

import (
	"context"
	"sync"

	"github.com/sycamoreline/sycamoreline/replica"
)

// sendQueueLength bounds the messages that wait for one control host. More
// are dropped; the protocol repeats what matters.
const sendQueueLength = 1024

// replicaMessage carries a message of a log group between control hosts.
type replicaMessage struct {
	Group   int             `json:"group"`
	Message replica.Message `json:"message"`
}

// transport sends messages of all log groups to the other control hosts, one
// connection and one goroutine for each host.
type transport struct {
	queues map[string]chan replicaMessage
	peers  []*Peer
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func newTransport(peers []*Peer) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{queues: make(map[string]chan replicaMessage), peers: peers, cancel: cancel}
	for _, p := range peers {
		q := make(chan replicaMessage, sendQueueLength)
		t.queues[p.id] = q
		t.wait.Add(1)
		go t.send(ctx, p, q)
	}
	return t
}

func (t *transport) send(ctx context.Context, p *Peer, q chan replicaMessage) {
	defer t.wait.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-q:
			attempt, cancel := context.WithTimeout(ctx, dialTimeout)
			// A message that cannot be sent is lost, as on a network.
			_ = p.Notify(attempt, methodReplica, m)
			cancel()
		}
	}
}

func (t *transport) close() {
	t.cancel()
	for _, p := range t.peers {
		p.Close()
	}
	t.wait.Wait()
}

// groupTransport is the transport of one log group.
type groupTransport struct {
	transport     *transport
	group int
}

// Send implements replica.Transport.
func (g groupTransport) Send(m replica.Message) {
	q, ok := g.transport.queues[m.To.ID]
	if !ok {
		return
	}
	select {
	case q <- replicaMessage{Group: g.group, Message: m}:
	default:
	}
}

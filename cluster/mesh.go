package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/replica"
)

const (
	// sendQueueLength bounds the messages queued for one host. Further ones are
	// dropped; the replicas and the gossip send again what is still needed.
	sendQueueLength = 1024
	// keepAliveInterval and keepAliveTimeout are the period and the timeout of
	// pings, which detect connections that stopped working without a TCP reset.
	keepAliveInterval = 500 * time.Millisecond
	keepAliveTimeout  = 700 * time.Millisecond
	// sendTimeout bounds the sending of one message, dialling included. It is
	// shorter than the second after which TCP retransmits the first packet,
	// which is lost if the host is without power.
	sendTimeout = 250 * time.Millisecond
	// peerIdleTimeout is the time without a message after which a peer is
	// removed.
	peerIdleTimeout = 30 * time.Second

	methodPing = "ping"
)

// mesh sends one-way messages to other hosts, which it dials on demand. Each
// host has its own queue and connection, so that one that does not read does
// not delay the others.
type mesh struct {
	newPeer func(id string) *control.Peer
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*meshPeer
}

type meshMessage struct {
	method string
	params any
}

type meshPeer struct {
	*control.Peer
	queue  chan meshMessage
	usedAt time.Time // guarded by mesh.mu
}

func newMesh(newPeer func(id string) *control.Peer) *mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &mesh{newPeer: newPeer, ctx: ctx, cancel: cancel, peers: map[string]*meshPeer{}}
}

// send queues a message. It does not block, and drops the message if the queue
// is full.
func (m *mesh) send(id, method string, params any) {
	p := m.peer(id)
	if p == nil {
		return
	}
	select {
	case p.queue <- meshMessage{method, params}:
	default:
	}
}

func (m *mesh) peer(id string) *meshPeer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return nil
	}
	p := m.peers[id]
	if p == nil {
		p = &meshPeer{Peer: m.newPeer(id), queue: make(chan meshMessage, sendQueueLength)}
		m.peers[id] = p
		m.wait.Add(2)
		ctx, cancel := context.WithCancel(m.ctx)
		go m.sendLoop(ctx, p)
		go m.keepAlive(ctx, cancel, id, p)
	}
	p.usedAt = time.Now()
	return p
}

func (m *mesh) sendLoop(ctx context.Context, p *meshPeer) {
	defer m.wait.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-p.queue:
			attempt, cancel := context.WithTimeout(ctx, sendTimeout)
			if err := p.Notify(attempt, v.method, v.params); err != nil {
				// Messages that cannot be sent are dropped; the protocols
				// tolerate message loss.
				p.dropQueue()
			}
			cancel()
		}
	}
}

// dropQueue discards the messages queued behind a failed one, which would be
// outdated once the host is reachable again.
func (p *meshPeer) dropQueue() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

// keepAlive drops a connection whose peer does not answer pings, and removes an
// idle peer.
func (m *mesh) keepAlive(ctx context.Context, cancel context.CancelFunc, id string, p *meshPeer) {
	defer m.wait.Done()
	defer p.Close()
	defer cancel()
	for pause.For(ctx, keepAliveInterval) {
		m.mu.Lock()
		idle := time.Since(p.usedAt) > peerIdleTimeout
		if idle {
			delete(m.peers, id)
		}
		m.mu.Unlock()
		if idle {
			return
		}
		attempt, done := context.WithTimeout(ctx, keepAliveTimeout)
		err := p.Call(attempt, methodPing, struct{}{}, nil)
		done()
		if err != nil {
			p.Reset()
		}
	}
}

func (m *mesh) close() {
	m.mu.Lock()
	m.cancel()
	m.mu.Unlock()
	m.wait.Wait()
}

// transport sends the messages of one log over the mesh.
type transport struct {
	mesh      *mesh
	partition int // 0 for the log of the control hosts
}

// Send implements replica.Transport.
func (t transport) Send(m replica.Message) {
	t.mesh.send(m.To.ID, methodReplica, replicaMessage{t.partition, m})
}

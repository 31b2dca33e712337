package replica

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/disk"
)

// counter is a state machine that counts the applied commands.
type counter struct{ count uint64 }

func (c *counter) Apply(uint64, int64, []byte) []byte {
	c.count++
	return nil
}
func (c *counter) Snapshot(w io.Writer) error { return json.NewEncoder(w).Encode(c.count) }
func (c *counter) Restore(r io.Reader) error  { return json.NewDecoder(r).Decode(&c.count) }

// tcpTransport is a transport over loopback TCP with one connection per
// direction.
type tcpTransport struct {
	b         testing.TB
	bytes     atomic.Int64
	mu        sync.Mutex
	conns     map[[2]string]*tcpConn
	listeners map[string]net.Listener
	groups    map[string]*Group
	cut       map[string]bool
	workers   sync.WaitGroup
}

type tcpConn struct {
	out  chan Message
	conn net.Conn
}

func newTCPTransport(b testing.TB) *tcpTransport {
	t := &tcpTransport{b: b, conns: map[[2]string]*tcpConn{}, listeners: map[string]net.Listener{}, groups: map[string]*Group{}, cut: map[string]bool{}}
	for _, id := range testIDs {
		var lc net.ListenConfig
		l, err := lc.Listen(b.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		t.listeners[id] = l
		t.workers.Go(func() { t.accept(id, l) })
	}
	return t
}

func (t *tcpTransport) accept(id string, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.workers.Go(func() { t.receive(id, c) })
	}
}

func (t *tcpTransport) receive(id string, c net.Conn) {
	defer c.Close()
	d := json.NewDecoder(bufio.NewReader(c))
	for {
		var m Message
		if d.Decode(&m) != nil {
			return
		}
		t.mu.Lock()
		g := t.groups[id]
		if t.cut[id] || t.cut[m.From.ID] {
			g = nil
		}
		t.mu.Unlock()
		if g != nil {
			g.Deliver(m)
		}
	}
}

// Send queues a message, or drops it if the queue is full.
func (t *tcpTransport) Send(m Message) {
	t.mu.Lock()
	key := [2]string{m.From.ID, m.To.ID}
	c := t.conns[key]
	if c == nil {
		c = t.dial(m.To.ID)
		t.conns[key] = c
	}
	t.mu.Unlock()
	select {
	case c.out <- m:
	default:
	}
}

func (t *tcpTransport) dial(to string) *tcpConn {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", t.listeners[to].Addr().String())
	assert.NilError(t.b, err)
	c := &tcpConn{out: make(chan Message, 4096), conn: conn}
	t.workers.Go(func() { t.transmit(c) })
	return c
}

func (t *tcpTransport) transmit(c *tcpConn) {
	buffered := bufio.NewWriter(c.conn)
	e := json.NewEncoder(io.MultiWriter(buffered, countWriter{&t.bytes}))
	for m := range c.out {
		if e.Encode(m) != nil {
			return
		}
		if len(c.out) == 0 && buffered.Flush() != nil {
			return
		}
	}
}

type countWriter struct{ n *atomic.Int64 }

func (c countWriter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}

func (t *tcpTransport) close() {
	t.mu.Lock()
	for _, c := range t.conns {
		close(c.out)
		c.conn.Close()
	}
	for _, l := range t.listeners {
		l.Close()
	}
	t.mu.Unlock()
	t.workers.Wait()
}

// benchGroup is a group of three replicas on real files and loopback TCP.
type benchGroup struct {
	b         testing.TB
	transport *tcpTransport
	groups    map[string]*Group
}

func newBenchGroup(b testing.TB) *benchGroup {
	c := &benchGroup{b: b, transport: newTCPTransport(b), groups: map[string]*Group{}}
	for _, id := range testIDs {
		g, err := Open(Config{ID: id, Peers: testIDs, Dir: filepath.Join(b.TempDir(), id)}, &counter{}, c.transport)
		assert.NilError(b, err)
		c.transport.mu.Lock()
		c.transport.groups[id] = g
		c.transport.mu.Unlock()
		c.groups[id] = g
	}
	return c
}

func (c *benchGroup) close() {
	for _, g := range c.groups {
		assert.NilError(c.b, g.Close())
	}
	c.transport.close()
}

// leader waits until a replica commits a proposal, and returns that replica.
func (c *benchGroup) leader() *Group {
	ctx, cancel := context.WithTimeout(c.b.Context(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		for _, g := range c.groups {
			if _, err := g.Propose(ctx, []byte("x")); err == nil {
				return g
			}
		}
		pause(ctx)
	}
	c.b.Fatal("no leader")
	return nil
}

const benchCommandBytes = 256

// syncOnce returns the duration of an append with fsync.
func syncOnce(b testing.TB, f *os.File, data []byte) time.Duration {
	start := time.Now()
	_, err := f.Write(data)
	assert.NilError(b, err)
	assert.NilError(b, f.Sync())
	return time.Since(start)
}

// dialEcho returns a connection to an echo server.
func dialEcho(b testing.TB) net.Conn {
	var lc net.ListenConfig
	l, err := lc.Listen(b.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() {
		defer l.Close()
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.Copy(c, c)
	}()
	c, err := (&net.Dialer{}).DialContext(b.Context(), "tcp", l.Addr().String())
	assert.NilError(b, err)
	return c
}

func median(ds []time.Duration) time.Duration {
	slices.Sort(ds)
	return ds[len(ds)/2]
}

// BenchmarkCommitRatio measures the ratio of the median commit latency of one
// proposer to the median time of one bare fsync plus one loopback round trip.
// The two are measured alternately.
func BenchmarkCommitRatio(b *testing.B) {
	c := newBenchGroup(b)
	defer c.close()
	leader := c.leader()
	f, err := os.Create(filepath.Join(b.TempDir(), "bare"))
	assert.NilError(b, err)
	defer f.Close()
	conn := dialEcho(b)
	defer conn.Close()
	data := make([]byte, benchCommandBytes)
	var commits, bare []time.Duration
	for b.Loop() {
		start := time.Now()
		_, err := leader.Propose(b.Context(), data)
		assert.NilError(b, err)
		commits = append(commits, time.Since(start))

		d := syncOnce(b, f, data)
		start = time.Now()
		_, err = conn.Write(data)
		assert.NilError(b, err)
		_, err = io.ReadFull(conn, data)
		assert.NilError(b, err)
		bare = append(bare, d+time.Since(start))
	}
	b.ReportMetric(float64(median(commits).Microseconds()), "commit-us")
	b.ReportMetric(float64(median(bare).Microseconds()), "bare-us")
	b.ReportMetric(float64(median(commits))/float64(median(bare)), "ratio")
}

// BenchmarkProposers measures the proposals per second of one proposer and of 64
// concurrent ones.
func BenchmarkProposers(b *testing.B) {
	for _, proposers := range []int{1, 64} {
		b.Run(fmt.Sprint(proposers), func(b *testing.B) {
			c := newBenchGroup(b)
			defer c.close()
			leader := c.leader()
			data := make([]byte, benchCommandBytes)
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			b.ResetTimer()
			var wait sync.WaitGroup
			for range proposers {
				wait.Go(func() {
					for remaining.Add(-1) >= 0 {
						_, err := leader.Propose(b.Context(), data)
						assert.Check(b, err)
					}
				})
			}
			wait.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}

// BenchmarkFailOver isolates the leader and measures the time until another
// replica has committed a proposal.
func BenchmarkFailOver(b *testing.B) {
	c := newBenchGroup(b)
	defer c.close()
	var worst time.Duration
	for b.Loop() {
		old := c.leader().config.ID
		start := time.Now()
		c.transport.mu.Lock()
		c.transport.cut[old] = true
		c.transport.mu.Unlock()
		ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
		c.otherLeader(ctx, old)
		cancel()
		worst = max(worst, time.Since(start))
		c.transport.mu.Lock()
		clear(c.transport.cut)
		c.transport.mu.Unlock()
	}
	b.ReportMetric(worst.Seconds(), "worst-s")
}

func (c *benchGroup) otherLeader(ctx context.Context, old string) {
	for ctx.Err() == nil {
		for id, g := range c.groups {
			if id == old {
				continue
			}
			if _, err := g.Propose(ctx, []byte("x")); err == nil {
				return
			}
		}
		pause(ctx)
	}
	c.b.Fatal("no other leader")
}

// BenchmarkIdle measures the cost of a group without proposals: bytes sent per
// second by all its replicas together, and CPU time as a percentage of one CPU.
func BenchmarkIdle(b *testing.B) {
	const groups = 5
	var all []*benchGroup
	for range groups {
		c := newBenchGroup(b)
		defer c.close()
		c.leader()
		all = append(all, c)
	}
	sent := func() (n int64) {
		for _, c := range all {
			n += c.transport.bytes.Load()
		}
		return n
	}
	bytes, cpu := sent(), cpuTime(b)
	b.ResetTimer()
	for range b.N {
		<-time.After(time.Second)
	}
	seconds := b.Elapsed().Seconds() * groups
	b.ReportMetric(float64(sent()-bytes)/seconds, "bytes/group-s")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds, "cpu-percent/group")
}

func cpuTime(b testing.TB) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOpen measures the start-up time of a replica by log length, with and
// without a snapshot.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []uint64{1_000, 10_000, 100_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d-entries/snapshot=%v", n, snapshot), func(b *testing.B) {
				dir := b.TempDir()
				fillStore(b, dir, n, snapshot)
				for b.Loop() {
					g, err := Open(Config{ID: testIDs[0], Peers: testIDs, Dir: dir}, &counter{}, newDiscardTransport())
					assert.NilError(b, err)
					assert.NilError(b, g.Close())
				}
			})
		}
	}
}

type discardTransport struct{}

func newDiscardTransport() Transport { return discardTransport{} }

func (discardTransport) Send(Message) {}

func fillStore(b testing.TB, dir string, n uint64, snapshot bool) {
	s, _, err := disk.Open(disk.OS{}, dir, testIDs[0], rand.Uint64())
	assert.NilError(b, err)
	entries := make([]disk.Entry, 0, 1000)
	for i := uint64(1); i <= n; i++ {
		entries = append(entries, disk.Entry{Index: i, Term: 1, Data: make([]byte, benchCommandBytes)})
		if len(entries) == cap(entries) {
			assert.NilError(b, s.Write(disk.Batch{Entries: entries}))
			entries = entries[:0]
		}
	}
	if snapshot {
		w, err := s.CreateSnapshot(disk.SnapshotInfo{Index: n, Term: 1})
		assert.NilError(b, err)
		assert.NilError(b, (&counter{count: n}).Snapshot(w))
		_, err = w.Finish()
		assert.NilError(b, err)
		assert.NilError(b, s.Compact(disk.Base{Index: n, Term: 1}, nil, nil))
	}
	assert.NilError(b, s.Close())
}

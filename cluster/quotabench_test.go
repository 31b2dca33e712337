package cluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/control"
)

// quotaLeaderVariable is set in the process of the control host of
// BenchmarkWorkspacePermits.
const quotaLeaderVariable = "SYCAMORELINE_TEST_QUOTA_LEADER"

// TestQuotaLeaderProcess is the control host of BenchmarkWorkspacePermits. It runs
// until its standard input ends.
func TestQuotaLeaderProcess(t *testing.T) {
	if os.Getenv(quotaLeaderVariable) == "" {
		return
	}
	d := newDeployment(t, "c1")
	h, err := StartHost(HostConfig{
		ID: "c1", DataFolder: t.TempDir(), Founders: []string{"c1"}, Seeds: []string{"c1"}, Key: d.key, Address: d.address,
		Quota: QuotaBound{5 * time.Second, 0.1, 20},
	}, d.listeners["c1"], zap.NewNop())
	assert.NilError(t, err)
	d.await("leader", func(context.Context) bool { return h.requireLeader() == nil })
	fmt.Println(d.address("c1"))
	_, _ = io.Copy(io.Discard, os.Stdin)
	assert.NilError(t, h.Close())
}

// bothWaysConn also counts the bytes written.
type bothWaysConn struct{ countingConn }

func (c *bothWaysConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.read.Add(int64(n))
	return n, err
}

// BenchmarkWorkspacePermits requests permits for 600 workspaces at a rate over all
// entry hosts, for 5 s, from a control host in a process of its own. A host sends one
// message at a time. Bytes are those of both directions, without TCP headers.
func BenchmarkWorkspacePermits(b *testing.B) {
	for _, c := range []struct{ hosts, perSecond int }{{100, 1500}, {100, 6200}, {330, 1500}, {330, 6200}} {
		b.Run(fmt.Sprintf("hosts=%d/requests=%d", c.hosts, c.perSecond), func(b *testing.B) {
			for b.Loop() {
				benchmarkPermits(b, c.hosts, c.perSecond)
			}
		})
	}
}

func benchmarkPermits(b *testing.B, hosts, perSecond int) {
	const length, workspaces = 5 * time.Second, 600
	leader := exec.CommandContext(b.Context(), os.Args[0], "-test.run=^TestQuotaLeaderProcess$")
	leader.Env = append(os.Environ(), quotaLeaderVariable+"=1")
	stdin, err := leader.StdinPipe()
	assert.NilError(b, err)
	stdout, err := leader.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, leader.Start())
	lines := bufio.NewScanner(stdout)
	assert.Assert(b, lines.Scan())
	address := lines.Text()
	key, err := control.NewKey("a key for the tests")
	assert.NilError(b, err)

	var mu sync.Mutex
	var bytes atomic.Int64
	messages, requests, failed := 0, 0, 0
	var wait sync.WaitGroup
	ctx, cancel := context.WithTimeout(b.Context(), length)
	defer cancel()
	for n := range hosts {
		wait.Go(func() {
			id := fmt.Sprint("e", n)
			p := control.NewPeer("c1", address, id, key, nil, func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &bothWaysConn{countingConn{Conn: c, read: &bytes}}, err
			})
			defer p.Close()
			gap := time.Duration(float64(time.Second) * float64(hosts) / float64(perSecond))
			next := time.Now().Add(rand.N(gap))
			for ctx.Err() == nil {
				timer := time.NewTimer(time.Until(next))
				select {
				case <-ctx.Done():
				case <-timer.C:
				}
				var calls []*permitCall
				for ; !next.After(time.Now()) && ctx.Err() == nil; next = next.Add(time.Duration(rand.ExpFloat64() * float64(gap))) {
					calls = append(calls, &permitCall{begins: rand.IntN(12) == 0, done: make(chan struct{}), workspace: workspaceRequest{
						Workspace: fmt.Sprint("workspace-", rand.IntN(workspaces)), Table: 4000, QuotaLimit: QuotaLimit{20, 30},
					}})
				}
				if len(calls) == 0 {
					continue
				}
				var out permitResponse
				err := p.Call(b.Context(), methodPermit, newPermitBatch(id, calls, nil).request, &out)
				mu.Lock()
				messages++
				requests += len(calls)
				if err != nil {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	assert.NilError(b, stdin.Close())
	assert.NilError(b, leader.Wait())
	assert.Equal(b, failed, 0)
	s := length.Seconds()
	cpu := leader.ProcessState.UserTime() + leader.ProcessState.SystemTime()
	b.ReportMetric(float64(requests)/s, "requests/s")
	b.ReportMetric(float64(messages)/s, "messages/s")
	b.ReportMetric(float64(bytes.Load())/s, "bytes/s")
	b.ReportMetric(float64(bytes.Load())/s/float64(hosts), "bytes/s/host")
	b.ReportMetric(100*cpu.Seconds()/s, "leader-cpu-%")
}

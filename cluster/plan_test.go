package cluster

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func ledgerHostStates(perDataCentre ...int) []ledgerHostState {
	var out []ledgerHostState
	for i, n := range perDataCentre {
		for range n {
			out = append(out, ledgerHostState{id: fmt.Sprintf("k%02d", len(out)), dataCentre: fmt.Sprint("dc", i)})
		}
	}
	return out
}

// Guards against partitions with too many replicas in one data centre,
// partitions spread unevenly over the hosts, and a first plan that depends on
// anything but the hosts.
func TestNewPlan(t *testing.T) {
	tests := []struct {
		name       string
		hosts      []ledgerHostState
		replicas   int
		partitions int
	}{
		{name: "one host", hosts: ledgerHostStates(1), replicas: 3, partitions: 1},
		{name: "as many hosts as replicas", hosts: ledgerHostStates(1, 1, 1), replicas: 3, partitions: 1},
		{name: "one host more than replicas", hosts: ledgerHostStates(2, 1, 1), replicas: 3, partitions: 2},
		{name: "nine in three data centres", hosts: ledgerHostStates(3, 3, 3), replicas: 5, partitions: 3},
		{name: "nine in four data centres", hosts: ledgerHostStates(3, 2, 2, 2), replicas: 5, partitions: 3},
		{name: "twenty", hosts: ledgerHostStates(4, 4, 3, 3, 3, 3), replicas: 5, partitions: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlan(tt.hosts, tt.replicas)
			assert.Equal(t, len(p.Partitions), tt.partitions)
			assert.DeepEqual(t, p, newPlan(tt.hosts, tt.replicas))
			fewest, most := len(p.Partitions), 0
			for _, h := range tt.hosts {
				fewest, most = min(fewest, p.assigned(h.id)), max(most, p.assigned(h.id))
			}
			assert.Assert(t, most-fewest <= 2, "hosts have %d to %d partitions", fewest, most)
			for _, x := range p.Partitions {
				assert.Equal(t, len(x.Members), min(tt.replicas, len(tt.hosts)))
				perDataCentre := map[string]int{}
				for _, h := range tt.hosts {
					if slices.Contains(x.Members, h.id) {
						perDataCentre[h.dataCentre]++
					}
				}
				for dc, n := range perDataCentre {
					assert.Assert(t, n <= (tt.replicas+1)/2, "%d of %d replicas in %s", n, tt.replicas, dc)
				}
			}
			_, changed := p.next(tt.hosts, tt.replicas)
			assert.Assert(t, !changed)
		})
	}
}

// Guards against a plan that changes more than one host of a partition at a
// time, adds a host that is retiring or unavailable, removes one without a
// replacement, or never reaches a fixed point.
func TestPlansChangeStepByStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := ledgerHostStates(rapid.IntRange(1, 3).Draw(t, "a"), rapid.IntRange(1, 3).Draw(t, "b"), rapid.IntRange(1, 3).Draw(t, "c"))
		replicas := rapid.SampledFrom([]int{3, 5}).Draw(t, "copies")
		p := newPlan(hosts, replicas)
		for range 3 {
			for i := range hosts {
				hosts[i].reportAge = rapid.SampledFrom([]time.Duration{0, 0, 0, reportMaxAge, replaceAfter}).Draw(t, "silent")
				hosts[i].retiring = hosts[i].retiring || rapid.IntRange(0, 9).Draw(t, "retiring") == 0
			}
			hosts = append(hosts, ledgerHostState{id: fmt.Sprintf("k%02d", len(hosts)), dataCentre: "dc0"})
			for steps := 0; ; steps++ {
				next, changed := p.next(hosts, replicas)
				if !changed {
					break
				}
				if steps > len(hosts)*len(p.Partitions) {
					t.Fatalf("the plan does not reach a fixed point: %v", next)
				}
				checkStep(t, p, next, hosts, replicas)
				p = next
			}
		}
	})
}

func checkStep(t *rapid.T, p, next Plan, hosts []ledgerHostState, replicas int) {
	if len(next.Partitions) != len(p.Partitions) || next.Version <= p.Version {
		t.Fatalf("invalid plan %v after %v", next, p)
	}
	for i, x := range next.Partitions {
		before := p.Partitions[i].Members
		if !slices.Equal(x.Founders, p.Partitions[i].Founders) || len(x.Members) < len(before) || len(x.Members) > replicas {
			t.Fatalf("invalid partition %v after members %v", x, before)
		}
		added := slices.DeleteFunc(slices.Clone(x.Members), func(id string) bool { return slices.Contains(before, id) })
		if len(added) > 1 {
			t.Fatalf("several hosts added: partition %v after members %v", x, before)
		}
		for _, h := range hosts {
			if slices.Contains(added, h.id) && !h.usable() {
				t.Fatalf("unusable host %s was added: %+v", h.id, h)
			}
			if slices.Contains(before, h.id) && !slices.Contains(x.Members, h.id) && !h.retiring && h.reportAge < replaceAfter {
				t.Fatalf("available host %s was removed: %+v", h.id, h)
			}
		}
	}
}

// Guards against a program whose turns are spread over several partitions, a
// conversation that programs of another partition cannot continue, and a
// retired host that still holds a partition.
func TestPartitions(t *testing.T) {
	ledgerHosts := []string{"k1", "k2", "k3", "k4", "k5"}
	d := newDeployment(t, append([]string{"c1"}, ledgerHosts...)...)
	seeds := []string{"c1"}
	host := d.startHost("c1", seeds, seeds)
	entry := d.startLink("e1", seeds, &observer{})
	for _, id := range ledgerHosts {
		d.startLedgerHost(id, seeds, true)
	}
	var first string // a program in partition 1
	d.await("turn reserved in every partition", func(ctx context.Context) bool {
		count, err := entry.partitionCount()
		if err != nil {
			return false
		}
		assert.Equal(t, count, 3)
		seen := map[int]bool{}
		for i := 0; len(seen) < count; i++ {
			program := fmt.Sprint("p", i)
			n := ledger.GroupOf(program, count)
			if n == 1 {
				first = program
			}
			seen[n] = true
			_, err := entry.Reserve(ctx, turnRequest(program, program+"-a", 6, ""))
			assert.NilError(t, err)
		}
		return true
	})
	keep := func(program, turn, previous, input string) {
		assert.NilError(t, entry.Settle(t.Context(), ledger.SettleTurn{Program: program, Turn: turn, Tokens: 1, Keep: &ledger.KeptTurn{
			Previous: previous, Input: []byte(input), Output: []byte("out;"), Retention: 60_000,
		}}))
	}
	keep(first, first+"-a", "", "in;")
	for i := range 10 {
		program := fmt.Sprint("other", i)
		r, err := entry.Reserve(t.Context(), turnRequest(program, program+"-b", 6, first+"-a"))
		assert.NilError(t, err)
		assert.Equal(t, string(r.Chain), "in;out;")
		assert.Equal(t, r.OtherPartition, ledger.GroupOf(program, 3) != 1)
		_, err = entry.Reserve(t.Context(), turnRequest(program, program+"-c", 1, "never"))
		assert.Equal(t, verdict.From(err).Reason(), ledger.UnknownTurn)
	}

	assert.NilError(t, host.Retire(t.Context(), "store-k1"))
	d.await("host emptied", func(ctx context.Context) bool {
		done, err := host.Retired(ctx, "store-k1")
		return err == nil && done
	})
	r, err := entry.Reserve(t.Context(), turnRequest(first, first+"-d", 1, first+"-a"))
	assert.NilError(t, err)
	assert.Equal(t, string(r.Chain), "in;out;")
}

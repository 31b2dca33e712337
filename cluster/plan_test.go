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

// Guards against partitions that two data centres or a few hosts hold most of,
// and against a first plan that depends on more than the hosts.
func TestNewPlan(t *testing.T) {
	tests := []struct {
		name       string
		hosts      []ledgerHostState
		copies     int
		partitions int
	}{
		{name: "one host", hosts: ledgerHostStates(1), copies: 3, partitions: 1},
		{name: "as many as copies", hosts: ledgerHostStates(1, 1, 1), copies: 3, partitions: 1},
		{name: "one more", hosts: ledgerHostStates(2, 1, 1), copies: 3, partitions: 2},
		{name: "nine in three data centres", hosts: ledgerHostStates(3, 3, 3), copies: 5, partitions: 3},
		{name: "nine in four data centres", hosts: ledgerHostStates(3, 2, 2, 2), copies: 5, partitions: 3},
		{name: "twenty", hosts: ledgerHostStates(4, 4, 3, 3, 3, 3), copies: 5, partitions: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlan(tt.hosts, tt.copies)
			assert.Equal(t, len(p.Partitions), tt.partitions)
			assert.DeepEqual(t, p, newPlan(tt.hosts, tt.copies))
			fewest, most := len(p.Partitions), 0
			for _, h := range tt.hosts {
				fewest, most = min(fewest, p.assigned(h.id)), max(most, p.assigned(h.id))
			}
			assert.Assert(t, most-fewest <= 2, "hosts keep %d to %d partitions", fewest, most)
			for _, x := range p.Partitions {
				assert.Equal(t, len(x.Members), min(tt.copies, len(tt.hosts)))
				perDataCentre := map[string]int{}
				for _, h := range tt.hosts {
					if slices.Contains(x.Members, h.id) {
						perDataCentre[h.dataCentre]++
					}
				}
				for dc, n := range perDataCentre {
					assert.Assert(t, n <= (tt.copies+1)/2, "%d of %d copies in %s", n, tt.copies, dc)
				}
			}
			_, changed := p.next(tt.hosts, tt.copies)
			assert.Assert(t, !changed)
		})
	}
}

// Guards against a plan that moves more than one host of a partition at a time,
// that takes in a host that is retiring or silent, that takes one out without a
// successor, and that never comes to rest.
func TestPlansChangeStepByStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := ledgerHostStates(rapid.IntRange(1, 3).Draw(t, "a"), rapid.IntRange(1, 3).Draw(t, "b"), rapid.IntRange(1, 3).Draw(t, "c"))
		copies := rapid.SampledFrom([]int{3, 5}).Draw(t, "copies")
		p := newPlan(hosts, copies)
		for range 3 {
			for i := range hosts {
				hosts[i].reportAge = rapid.SampledFrom([]time.Duration{0, 0, 0, reportMaxAge, replaceAfter}).Draw(t, "silent")
				hosts[i].retiring = hosts[i].retiring || rapid.IntRange(0, 9).Draw(t, "retiring") == 0
			}
			hosts = append(hosts, ledgerHostState{id: fmt.Sprintf("k%02d", len(hosts)), dataCentre: "dc0"})
			for steps := 0; ; steps++ {
				next, changed := p.next(hosts, copies)
				if !changed {
					break
				}
				if steps > len(hosts)*len(p.Partitions) {
					t.Fatalf("the plan does not come to rest: %v", next)
				}
				checkStep(t, p, next, hosts, copies)
				p = next
			}
		}
	})
}

func checkStep(t *rapid.T, p, next Plan, hosts []ledgerHostState, copies int) {
	if len(next.Partitions) != len(p.Partitions) || next.Version <= p.Version {
		t.Fatalf("%v follows %v", next, p)
	}
	for i, x := range next.Partitions {
		before := p.Partitions[i].Members
		if !slices.Equal(x.Founders, p.Partitions[i].Founders) || len(x.Members) < len(before) || len(x.Members) > copies {
			t.Fatalf("%v follows %v", x, before)
		}
		added := slices.DeleteFunc(slices.Clone(x.Members), func(id string) bool { return slices.Contains(before, id) })
		if len(added) > 1 {
			t.Fatalf("%v follows %v", x, before)
		}
		for _, h := range hosts {
			if slices.Contains(added, h.id) && !h.usable() {
				t.Fatalf("%s was taken in: %+v", h.id, h)
			}
			if slices.Contains(before, h.id) && !slices.Contains(x.Members, h.id) && !h.retiring && h.reportAge < replaceAfter {
				t.Fatalf("%s was taken out: %+v", h.id, h)
			}
		}
	}
}

// Guards against a program whose turns are spread over partitions, against a
// conversation that programs of another partition cannot go on with, and
// against a host that keeps a partition after it was to be emptied.
func TestPartitions(t *testing.T) {
	keepers := []string{"k1", "k2", "k3", "k4", "k5"}
	d := newDeployment(t, append([]string{"c1"}, keepers...)...)
	seeds := []string{"c1"}
	host := d.host("c1", seeds, seeds)
	entry := d.link("e1", seeds, &observer{})
	for _, id := range keepers {
		d.ledgerHost(id, seeds, true)
	}
	var first string
	d.await("turns of all partitions", func(ctx context.Context) bool {
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

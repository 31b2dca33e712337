package cluster

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/tree"
)

const (
	// partitionsPerHost is the average number of replicas on a host if the
	// ledger has several partitions. Each further replica costs a host another
	// log to sync; with fewer, the leaders get too large a share of the work.
	partitionsPerHost = 2
	// replaceAfter is the time without a report after which a member of a
	// partition is replaced by a spare host. A host that is killed is back
	// within seconds.
	replaceAfter = 4 * time.Second
)

// Plan assigns the partitions of the ledger to hosts. The partition of a program
// depends on its id and the number of partitions, which therefore never changes.
type Plan struct {
	Version    int64           `json:"version"` // increases with each change
	Partitions []PartitionPlan `json:"partitions"`
}

// PartitionPlan is the plan for one partition.
type PartitionPlan struct {
	Founders []string `json:"founders"` // initial members of the log
	Members  []string `json:"members"`  // ids of the assigned hosts
}

// ledgerHostState is the state of a ledger host that a plan depends on.
type ledgerHostState struct {
	id         string
	dataCentre string
	reportAge  time.Duration // time since the last report
	retiring   bool
}

func (h ledgerHostState) usable() bool { return !h.retiring && h.reportAge < reportMaxAge }

// newPlan makes the plan of a new deployment. Each partition gets the given
// number of replicas, or one on every host if there are fewer hosts.
func newPlan(hosts []ledgerHostState, replicas int) Plan {
	p := Plan{Version: 1}
	count := 1
	if len(hosts) > replicas {
		count = max(1, partitionsPerHost*len(hosts)/replicas)
	}
	for range count {
		var members []string
		for len(members) < min(replicas, len(hosts)) {
			members = append(members, p.selectHost(hosts, members))
		}
		slices.Sort(members)
		p.Partitions = append(p.Partitions, PartitionPlan{Founders: members, Members: members})
	}
	return p
}

// selectHost returns the usable host to add to the members of a partition: in
// the data centre with the fewest of these members, the host with the fewest
// partitions. It returns an empty id if there is none.
func (p Plan) selectHost(hosts []ledgerHostState, members []string) string {
	var usable []ledgerHostState
	inDataCentre := map[string]int{}
	for _, h := range hosts {
		if slices.Contains(members, h.id) {
			inDataCentre[h.dataCentre]++
		} else if h.usable() {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	best := slices.MinFunc(usable, func(a, b ledgerHostState) int {
		return cmp.Or(inDataCentre[a.dataCentre]-inDataCentre[b.dataCentre], p.assigned(a.id)-p.assigned(b.id), cmp.Compare(a.id, b.id))
	})
	return best.id
}

// assigned returns the number of partitions assigned to a host.
func (p Plan) assigned(id string) int {
	n := 0
	for _, x := range p.Partitions {
		if slices.Contains(x.Members, id) {
			n++
		}
	}
	return n
}

// next returns the plan after the next change, and false if there is nothing to
// change. A partition with too few replicas gets another one, and a host that
// is retiring, is unknown or has not reported for replaceAfter is replaced if
// there is a spare host. At most one host of each partition changes at a time.
func (p Plan) next(hosts []ledgerHostState, replicas int) (Plan, bool) {
	byID := map[string]ledgerHostState{}
	for _, h := range hosts {
		byID[h.id] = h
	}
	out := Plan{Version: p.Version + 1, Partitions: slices.Clone(p.Partitions)}
	changed := false
	for i, x := range out.Partitions {
		remaining := slices.DeleteFunc(slices.Clone(x.Members), func(id string) bool {
			h, known := byID[id]
			return !known || h.retiring || h.reportAge >= replaceAfter
		})
		if len(remaining) >= replicas {
			continue
		}
		id := out.selectHost(hosts, x.Members)
		if id == "" {
			continue
		}
		members := append(slices.Clone(x.Members), id)
		if len(x.Members) >= replicas {
			members = dropReplaced(members, remaining, id)
		}
		slices.Sort(members)
		out.Partitions[i].Members = members
		changed = true
	}
	return out, changed
}

// dropReplaced removes the first member that is neither in remaining nor equal
// to added.
func dropReplaced(members, remaining []string, added string) []string {
	i := slices.IndexFunc(members, func(id string) bool { return id != added && !slices.Contains(remaining, id) })
	return slices.Delete(members, i, i+1)
}

// plan returns the ledger plan, the version of its path and the ids of the
// retiring hosts. The plan is nil before the first one is written.
func (s *controlState) plan() (p *Plan, pathVersion int64, retiring []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if e, ok := s.lookup(planPath); ok {
		p, pathVersion = new(Plan), e.Version
		if err := json.Unmarshal(e.Value, p); err != nil {
			p = nil
		}
	}
	r := s.tree.Answer(tree.Query{List: &tree.ListQuery{Prefix: retiringPath[:len(retiringPath)-1]}})
	for _, e := range r.Entries {
		if len(e.Path) > len(retiringPath) {
			retiring = append(retiring, e.Path[len(retiringPath):])
		}
	}
	return p, pathVersion, retiring
}

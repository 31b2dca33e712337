package cluster

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/sycamoreline/sycamoreline/tree"
)

const (
	// partitionsPerHost is how many partitions a host of a ledger with several
	// ones keeps a copy of, on average. Each more costs a host another log to
	// sync; fewer leave the leaders with too large a share of the work.
	partitionsPerHost = 2
	// replaceAfter is the silence after which a host that is to keep a partition is
	// replaced by a spare one. A host that is killed is back within seconds.
	replaceAfter = 4 * time.Second
)

// Plan says which hosts keep which partition of the ledger. Programs are spread
// over the partitions by their ids, so the number of partitions never changes.
type Plan struct {
	Version    int64           `json:"version"` // grows with each change
	Partitions []PartitionPlan `json:"partitions"`
}

// PartitionPlan is the plan for one partition.
type PartitionPlan struct {
	Founders []string `json:"founders"` // form its log on the first start
	Members  []string `json:"members"`  // are to keep it
}

// ledgerHostState is what a plan is made from.
type ledgerHostState struct {
	id         string
	dataCentre string
	reportAge     time.Duration // since its last report
	retiring   bool
}

func (k ledgerHostState) usable() bool { return !k.retiring && k.reportAge < reportMaxAge }

// newPlan spreads partitions over the hosts of a deployment that starts for the
// first time. Each is kept by so many hosts, or by all if there are fewer.
func newPlan(hosts []ledgerHostState, copies int) Plan {
	p := Plan{Version: 1}
	count := 1
	if len(hosts) > copies {
		count = max(1, partitionsPerHost*len(hosts)/copies)
	}
	for range count {
		var members []string
		for len(members) < min(copies, len(hosts)) {
			members = append(members, p.selectHost(hosts, members))
		}
		slices.Sort(members)
		p.Partitions = append(p.Partitions, PartitionPlan{Founders: members, Members: members})
	}
	return p
}

// selectHost returns the usable host that is to keep a partition beside others:
// in the data centre with the fewest of them, and of these the one that keeps
// the fewest partitions; empty for none.
func (p Plan) selectHost(hosts []ledgerHostState, beside []string) string {
	var free []ledgerHostState
	inDataCentre := map[string]int{}
	for _, h := range hosts {
		if slices.Contains(beside, h.id) {
			inDataCentre[h.dataCentre]++
		} else if h.usable() {
			free = append(free, h)
		}
	}
	if len(free) == 0 {
		return ""
	}
	best := slices.MinFunc(free, func(a, b ledgerHostState) int {
		return cmp.Or(inDataCentre[a.dataCentre]-inDataCentre[b.dataCentre], p.assigned(a.id)-p.assigned(b.id), cmp.Compare(a.id, b.id))
	})
	return best.id
}

// assigned returns how many partitions a host is to keep.
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
// change: a partition with too few hosts gets another one, and a host that is
// retiring, unknown or silent for long is replaced, as long as a spare one is
// there. In each partition one host at a time changes.
func (p Plan) next(hosts []ledgerHostState, copies int) (Plan, bool) {
	byID := map[string]ledgerHostState{}
	for _, h := range hosts {
		byID[h.id] = h
	}
	out := Plan{Version: p.Version + 1, Partitions: slices.Clone(p.Partitions)}
	changed := false
	for i, x := range out.Partitions {
		stay := slices.DeleteFunc(slices.Clone(x.Members), func(id string) bool {
			h, known := byID[id]
			return !known || h.retiring || h.reportAge >= replaceAfter
		})
		if len(stay) >= copies {
			continue
		}
		id := out.selectHost(hosts, x.Members)
		if id == "" {
			continue
		}
		members := append(slices.Clone(x.Members), id)
		if len(x.Members) >= copies {
			members = dropReplaced(members, stay, id)
		}
		slices.Sort(members)
		out.Partitions[i].Members = members
		changed = true
	}
	return out, changed
}

// dropReplaced drops the first member that neither stays nor is the new one.
func dropReplaced(members, stay []string, added string) []string {
	i := slices.IndexFunc(members, func(id string) bool { return id != added && !slices.Contains(stay, id) })
	return slices.Delete(members, i, i+1)
}

// plan returns the plan of the ledger, nil before there is one, and the ids of
// hosts that are to be emptied.
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

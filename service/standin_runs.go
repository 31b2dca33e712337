package service

import (
	"cmp"
	"slices"
	"sync"

	"github.com/sycamoreline/sycamoreline/backend"
)

// Run is the number of times that a stand-in ran an attempt of a call.
type Run struct {
	Operation string `json:"operation"`
	Program   string `json:"program"`
	Call      int    `json:"call"`
	Attempt   int    `json:"attempt"`
	Runs      int    `json:"runs"`
}

type runKey struct {
	operation string
	id        backend.CallID
}

// runs counts the runs of all calls. A crash does not reset it, since the
// effects of an operation also outlast a crash.
type runs struct {
	mu     sync.Mutex
	total  int
	counts map[runKey]int
}

// add counts a run and returns its serial number.
func (r *runs) add(operation string, id backend.CallID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	r.counts[runKey{operation, id}]++
	return r.total
}

func (r *runs) list() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Run, 0, len(r.counts))
	for k, n := range r.counts {
		list = append(list, Run{Operation: k.operation, Program: k.id.Program, Call: k.id.Call, Attempt: k.id.Attempt, Runs: n})
	}
	slices.SortFunc(list, func(a, b Run) int {
		return cmp.Or(
			cmp.Compare(a.Operation, b.Operation),
			cmp.Compare(a.Program, b.Program),
			cmp.Compare(a.Call, b.Call),
			cmp.Compare(a.Attempt, b.Attempt),
		)
	})
	return list
}

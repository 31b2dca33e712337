package main

import (
	"context"
	"slices"
	"strings"

	"github.com/sycamoreline/sycamoreline/balancer"
	"github.com/sycamoreline/sycamoreline/board"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/operator"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/settings"
	"github.com/sycamoreline/sycamoreline/tree"
)

// operatorBackend serves the operator API from the control hosts and from the
// state of this entry host.
type operatorBackend struct {
	*control.Configuration
	client     *control.Client
	settings   settings.Entry
	board      *board.Board
	dispatcher *dispatch.Dispatcher
	clock      dispatch.Clock
	gate       *balancer.Gate
}

var _ operator.Backend = (*operatorBackend)(nil)

// Get reads the tree from the control hosts, so that it includes changes that
// this entry host has not received yet.
func (b *operatorBackend) Get(ctx context.Context, prefix string) (tree.Difference, error) {
	all, err := b.Since(ctx, 0)
	if err != nil {
		return tree.Difference{}, err
	}
	out := tree.Difference{Revision: all.Revision, Full: true}
	for _, e := range all.Entries {
		if !e.Deleted && strings.HasPrefix(e.Path, prefix) {
			out.Entries = append(out.Entries, e)
		}
	}
	return out, nil
}

func (b *operatorBackend) Status(ctx context.Context) (operator.Status, error) {
	current, err := b.Since(ctx, 0)
	if err != nil {
		return operator.Status{}, err
	}
	inForce, err := b.InForce(ctx, current.Revision)
	if err != nil {
		return operator.Status{}, err
	}
	snapshot := b.dispatcher.Queue().Snapshot()
	s := operator.Status{
		Revision: current.Revision, InForce: inForce.InForce, Waiting: []string{},
		EntryHosts: []operator.EntryStatus{b.entryStatus(snapshot)},
		Servers:    b.serverStatuses(snapshot),
		Groups:     groupStatuses(b.client.Statuses(ctx)),
	}
	for _, m := range inForce.Waiting {
		s.Waiting = append(s.Waiting, m.ID)
	}
	return s, nil
}

// groupStatuses returns the status of each log group on each control host that
// answered, in order of the groups.
func groupStatuses(hosts []control.HostStatus) []operator.GroupStatus {
	var all []operator.GroupStatus
	for _, h := range hosts {
		for _, g := range h.Groups {
			s := operator.GroupStatus{
				Group: g.Group, Host: h.ID, Role: g.Role, Leader: g.Leader, Commit: g.Commit,
				Voters: []string{}, Learners: []string{},
			}
			for _, m := range g.Members {
				if m.Learner {
					s.Learners = append(s.Learners, m.ID)
				} else {
					s.Voters = append(s.Voters, m.ID)
				}
			}
			all = append(all, s)
		}
	}
	slices.SortStableFunc(all, func(a, b operator.GroupStatus) int { return a.Group - b.Group })
	return all
}

func (b *operatorBackend) entryStatus(snapshot schedule.Snapshot) operator.EntryStatus {
	applied, _ := b.board.Revisions()
	e := operator.EntryStatus{
		Host: b.settings.ID, DataCentre: b.settings.DataCentre, Address: b.settings.Listen,
		LeaseLive: b.board.LeaseLive(b.clock()), AppliedRevision: applied, Phase: b.gate.Phase().String(),
	}
	for _, n := range snapshot.Queued {
		e.Queued += n
	}
	for _, v := range snapshot.Servers {
		e.Running += v.InFlight
	}
	return e
}

func (b *operatorBackend) serverStatuses(snapshot schedule.Snapshot) []operator.ServerStatus {
	running := map[string]int{}
	for _, v := range snapshot.Servers {
		running[v.ID] = v.InFlight
	}
	var out []operator.ServerStatus
	for _, v := range b.board.Servers() {
		out = append(out, operator.ServerStatus{
			Server: v.Server, Kind: string(v.Kind), DataCentre: v.DataCentre, Address: v.Address,
			Serves: servedNames(v.Announcement), Running: running[v.Server], Slots: v.Slots, Leaving: v.Leaving,
		})
	}
	return out
}

func servedNames(a membership.Announcement) []string {
	var out []string
	for _, m := range a.Models {
		out = append(out, m.Name)
	}
	for _, o := range a.Operations {
		out = append(out, a.ServiceName+"/"+o.Name)
	}
	return out
}

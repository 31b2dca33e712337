package cluster

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// departuresPath is the path of the departures of backend servers in the
	// configuration tree, by encoded server id.
	departuresPath = "/departures/"
	// departureTimeout bounds the recording of a departure. Servers take an answer
	// after a second for none and call another control host.
	departureTimeout = 900 * time.Millisecond
	// departureRetryDelay is the wait between two attempts to reach the leader.
	departureRetryDelay = 30 * time.Millisecond
	// maxRemovedDepartures is the maximum number of old departures that are removed
	// from the log at a time.
	maxRemovedDepartures = 64
)

// UnknownServer is the reason for refusing the departure of a server that is not
// registered and whose incarnation is not known.
const UnknownServer verdict.Reason = "unknown-server"

func departurePath(id string) string {
	return departuresPath + base64.RawURLEncoding.EncodeToString([]byte(id))
}

// recordedDeparture is the departure of a server in the log. Its version is 0 if it
// has been removed.
type recordedDeparture struct {
	path    string
	version int64 // of the path
	entry   registry.Entry
}

// departuresIn returns the departures that a change has written or removed. The
// caller holds s.mu.
func (s *controlState) departuresIn(writes []tree.Write) []recordedDeparture {
	var out []recordedDeparture
	for _, w := range writes {
		if strings.HasPrefix(w.Path, departuresPath) {
			e, _ := s.lookup(w.Path)
			out = append(out, decodeDeparture(w.Path, e))
		}
	}
	return out
}

// allDepartures returns all departures in the log. The caller holds s.mu.
func (s *controlState) allDepartures() []recordedDeparture {
	var out []recordedDeparture
	for _, e := range s.tree.Answer(tree.Query{List: &tree.ListQuery{Prefix: strings.TrimSuffix(departuresPath, "/")}}).Entries {
		out = append(out, decodeDeparture(e.Path, e))
	}
	return out
}

func decodeDeparture(path string, e tree.Entry) recordedDeparture {
	d := recordedDeparture{path: path, version: e.Version}
	if json.Unmarshal(e.Value, &d.entry) != nil {
		return recordedDeparture{path: path} // only departures are written to these paths
	}
	return d
}

// departure returns the departure of a server in the log, and the version of its
// path.
func (s *controlState) departure(id string) (e registry.Entry, version int64, ok bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.lookup(departurePath(id))
	if !ok || json.Unmarshal(v.Value, &e) != nil {
		return registry.Entry{}, v.Version, false
	}
	return e, v.Version, true
}

// hasDeparture reports whether the log has the departure of an incarnation of a
// server or of a later one. It doesn't distinguish a server that is gone from one
// that is leaving: neither gets new work.
func (s *controlState) hasDeparture(e registry.Entry) bool {
	recorded, _, ok := s.departure(e.ID)
	return ok && recorded.StartedAt >= e.StartedAt
}

// recordDeparture writes the departure of an incarnation of a server to the log, so
// that it outlives all control hosts. It returns once the departure is committed.
func (h *Host) recordDeparture(ctx context.Context, e registry.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	var err error
	for !h.state.hasDeparture(e) {
		if err = h.proposeDeparture(ctx, e); err == nil {
			return nil
		}
		if !pause.For(ctx, departureRetryDelay) {
			h.logger.Warn("departure not recorded", zap.String("server", e.ID), zap.Int64("born", e.StartedAt), zap.Error(err))
			return verdict.New(verdict.MayHaveRun, verdict.ControlUnavailable, "the departure of server "+e.ID+" could not be recorded", verdict.WithCause(err))
		}
	}
	return nil
}

// proposeDeparture makes one attempt of recordDeparture, at the leader.
func (h *Host) proposeDeparture(ctx context.Context, e registry.Entry) error {
	err := h.writeDeparture(ctx, e)
	var notLeader *control.NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Leader() == "" {
		return err
	}
	p := h.mesh.peer(notLeader.Leader())
	if p == nil {
		return err
	}
	return p.Call(ctx, methodDeparture, e, nil)
}

// writeDeparture writes a departure to the log unless it has that of a later
// incarnation. On a host that is not the leader, the error is a
// *control.NotLeaderError.
func (h *Host) writeDeparture(ctx context.Context, e registry.Entry) error {
	if err := h.requireLeader(); err != nil {
		return err
	}
	for range maxTableAttempts {
		if h.state.hasDeparture(e) {
			return nil
		}
		_, version, _ := h.state.departure(e.ID)
		o, err := h.proposeChange(ctx, tree.Change{
			ChangeID: "departure-" + strconv.FormatUint(rand.Uint64(), 36),
			Writes:   []tree.Write{{Path: departurePath(e.ID), Value: strictjson.Encode(e), IfVersion: version}},
		})
		if err != nil {
			return err
		}
		if o.Applied {
			h.logger.Info("departure recorded", zap.String("server", e.ID), zap.String("state", string(e.State)), zap.Int64("born", e.StartedAt))
			return nil
		}
		if o.Reason != verdict.Conflict {
			return verdict.New(verdict.NotRun, o.Reason, o.Message)
		}
	}
	return verdict.New(verdict.NotRun, verdict.Conflict, "departure not written: every attempt conflicted with a concurrent change")
}

// Leave records that a backend server has left. A startedAt of 0 stands for the
// registered incarnation. It returns once the departure is recorded in the log, so
// that it outlives all control hosts; an error means that it may not. The reason is
// UnknownServer if the incarnation is not known here or at the leader.
func (h *Host) Leave(ctx context.Context, id string, startedAt int64) error {
	h.mu.Lock()
	e, ok := h.registry.MarkGone(h.now(), id, startedAt)
	to := h.otherHosts()
	h.mu.Unlock()
	switch {
	case !ok && startedAt != 0: // the server has restarted since
		return h.recordDeparture(ctx, registry.Entry{ID: id, StartedAt: startedAt, State: registry.Gone})
	case !ok:
		return h.leaveAtLeader(ctx, id)
	}
	h.requestSave()
	h.logger.Info("backend server left", zap.String("server", id), zap.Int64("born", e.StartedAt))
	h.sendGossip(to, []registry.Entry{e})
	return h.recordDeparture(ctx, e)
}

// leaveAtLeader has the leader record the departure of a server that this host
// doesn't know.
func (h *Host) leaveAtLeader(ctx context.Context, id string) error {
	unknown := verdict.Newf(verdict.NotRun, UnknownServer, "server %q is not registered", id)
	leader, _ := h.group.Leader()
	if leader == "" || leader == h.config.ID {
		return unknown
	}
	p := h.mesh.peer(leader)
	if p == nil {
		return unknown
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	return p.Call(ctx, methodLeave, leaveRequest{Server: id}, nil)
}

// receiveLeave handles the departure of a server that another control host doesn't
// know.
func (h *Host) receiveLeave(ctx context.Context, _ string, r leaveRequest) (any, error) {
	if err := h.requireLeader(); err != nil {
		return nil, err
	}
	return nil, h.Leave(ctx, r.Server, 0)
}

// receiveDeparture handles the departure that another control host has received.
func (h *Host) receiveDeparture(ctx context.Context, _ string, e registry.Entry) (any, error) {
	if e.ID == "" || e.State != registry.Leaving && e.State != registry.Gone {
		return nil, verdict.Newf(verdict.NotRun, verdict.BadRequest, "departure of server %q in state %q", e.ID, e.State)
	}
	return nil, h.writeDeparture(ctx, e)
}

// observeDepartures takes over departures from the log, also those of before a
// restart of this host. all is true if the log has no others.
func (h *Host) observeDepartures(list []recordedDeparture, all bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if all {
		clear(h.departures)
	}
	now := h.now()
	for _, d := range list {
		if d.version == 0 {
			delete(h.departures, d.path)
			continue
		}
		h.departures[d.path] = observedDeparture{at: now, version: d.version}
		h.registry.RestoreDeparture(now, d.entry)
	}
	if len(list) > 0 {
		h.requestSave()
	}
}

// observedDeparture is a departure in the log.
type observedDeparture struct {
	at      time.Duration // when this host read it
	version int64         // of its path
}

// removeOldDepartures removes departures from the log that no announcement can
// still contradict, on the leader only.
func (h *Host) removeOldDepartures(ctx context.Context) {
	if h.requireLeader() != nil {
		return
	}
	change := tree.Change{ChangeID: "departures-" + strconv.FormatUint(rand.Uint64(), 36)}
	h.mu.Lock()
	now := h.now()
	for path, d := range h.departures {
		if now-d.at > registry.DepartureTTL && len(change.Writes) < maxRemovedDepartures {
			change.Writes = append(change.Writes, tree.Write{Path: path, Delete: true, IfVersion: d.version})
		}
	}
	h.mu.Unlock()
	if len(change.Writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if o, err := h.proposeChange(ctx, change); err != nil || !o.Applied {
		h.logger.Warn("old departures not removed", zap.Int("count", len(change.Writes)), zap.String("reason", string(o.Reason)), zap.Error(err))
	}
}

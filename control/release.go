package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/strictjson"
)

const (
	releaseInterval = 200 * time.Millisecond
	releaseTimeout  = time.Second
	// releaseBatch bounds the releases of one group per round.
	releaseBatch = 64
)

// releaseMemory requests that engines release the memory of ended programs, for
// the program groups that this host leads. A release that an engine does not
// confirm stays recorded and is retried.
func (h *Host) releaseMemory(ctx context.Context) {
	for i, m := range h.programMachines {
		if _, ok := h.groups[i+1].Leading(); !ok {
			continue
		}
		for _, r := range m.releases(releaseBatch) {
			if ctx.Err() != nil {
				return
			}
			h.releaseOne(ctx, i+1, r)
		}
	}
}

func (m *programMachine) releases(limit int) []ledger.Release {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Answer(ledger.Query{Releases: &ledger.ReleasesQuery{Limit: limit}}).Releases
}

func (h *Host) releaseOne(ctx context.Context, group int, r ledger.Release) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	address, alive := h.engineAddress(r.Server, r.ServerIncarnation)
	c := ledger.Command{ServerGone: &ledger.ServerGone{Server: r.Server, ServerIncarnation: r.ServerIncarnation}}
	if alive {
		if address == "" {
			return
		}
		if err := h.config.Engines.Release(ctx, address, r.ServerIncarnation, r.Program); err != nil {
			h.logger.Info("engine did not confirm the release of a program's memory", zap.String("program", r.Program), zap.String("server", r.Server), zap.Error(err))
			return
		}
		c = ledger.Command{ReleaseConfirmed: &ledger.ReleaseConfirmed{Server: r.Server, ServerIncarnation: r.ServerIncarnation, Program: r.Program}}
	}
	if _, err := h.groups[group].Propose(ctx, strictjson.Encode(c)); err != nil {
		h.logger.Info("release of a program's memory not committed", zap.String("program", r.Program), zap.Error(err))
	}
}

// engineAddress returns the address of a server incarnation, and false if its
// memory is permanently gone. The address is empty while the lease has expired
// but the incarnation may still rejoin.
func (h *Host) engineAddress(server, incarnation string) (address string, alive bool) {
	h.configMachine.mu.RLock()
	defer h.configMachine.mu.RUnlock()
	if !h.configMachine.members.Alive(server, incarnation) {
		return "", false
	}
	v, ok := h.configMachine.members.Server(server)
	if !ok {
		return "", true
	}
	return v.Address, true
}

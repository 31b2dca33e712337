package engine

import (
	"net/http"

	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// exportedCache is the export format of the cached prefix of a program.
type exportedCache struct {
	Program string  `json:"program"`
	Blocks  []block `json:"blocks"`
}

func (e *StandIn) servePin(w http.ResponseWriter, r *http.Request) {
	var body programBody
	if standin.ReadJSON(w, r, &body) {
		standin.WriteJSON(w, pinResult{Pinned: e.current.Load().cache.pin(body.Program)})
	}
}

func (e *StandIn) serveRelease(w http.ResponseWriter, r *http.Request) {
	var body programBody
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	i := e.current.Load()
	i.cancelProgram(body.Program)
	released := i.cache.release(body.Program)
	i.recordLoad(e.settings)
	standin.WriteJSON(w, ReleaseResult{Incarnation: i.id, Tokens: released})
}

func (e *StandIn) serveExport(w http.ResponseWriter, r *http.Request) {
	var body programBody
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	blocks, ok := e.current.Load().cache.export(body.Program)
	if !ok {
		verdict.Newf(verdict.NotRun, verdict.UnknownProgram, "program %q has nothing cached", body.Program).Write(w)
		return
	}
	standin.WriteJSON(w, exportedCache{Program: body.Program, Blocks: blocks})
}

func (e *StandIn) serveImport(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program string        `json:"program"`
		Cache   exportedCache `json:"cache"`
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	if body.Program == "" || body.Program != body.Cache.Program {
		verdict.Newf(verdict.NotRun, verdict.BadRequest, "field \"cache\" belongs to program %q: want %q", body.Cache.Program, body.Program).Write(w)
		return
	}
	i := e.current.Load()
	stored := i.cache.importBlocks(body.Program, body.Cache.Blocks)
	i.recordLoad(e.settings)
	standin.WriteJSON(w, importResult{Tokens: stored})
}

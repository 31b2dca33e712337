package engine

import (
	"net/http"

	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/verdict"
)

type programBody struct {
	Program string `json:"program"`
}

// exportedCache is the memory of a program outside of an engine.
type exportedCache struct {
	Program string  `json:"program"`
	Blocks  []block `json:"blocks"`
}

func (e *StandIn) servePin(w http.ResponseWriter, r *http.Request) {
	var body programBody
	if standin.ReadJSON(w, r, &body) {
		standin.WriteJSON(w, map[string]bool{"pinned": e.current.Load().cache.pin(body.Program)})
	}
}

func (e *StandIn) serveRelease(w http.ResponseWriter, r *http.Request) {
	var body programBody
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	i := e.current.Load()
	released := i.cache.release(body.Program)
	i.recordLoad(e.settings)
	standin.WriteJSON(w, releaseResult{Incarnation: i.id, Tokens: released})
}

type releaseResult struct {
	Incarnation string `json:"incarnation"`
	Tokens      int64  `json:"tokens"`
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
	var body exportedCache
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	i := e.current.Load()
	stored := i.cache.load(body.Program, body.Blocks)
	i.recordLoad(e.settings)
	standin.WriteJSON(w, map[string]int64{"tokens": stored})
}

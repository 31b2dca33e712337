package dispatch

import (
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// weights identifies the weights with which an engine runs a model call. The
// version is empty for weights without one.
type weights struct {
	version string
	known   bool // false if the engine may use any of several versions
}

// weightsOn returns the weights with which an engine begins the call.
func (s *modelSender) weightsOn(v membership.Server) weights {
	if s.request.Version != "" {
		return weights{version: s.request.Version, known: true}
	}
	o := schedulerServer(v)
	version, known := o.WeightsVersion(s.request.Model, s.request.Adapter)
	return weights{version: version, known: known}
}

// mayContinueOn reports whether an engine may produce the next token: any engine
// the first one, and the others only an engine that has the weights which
// produced the first.
func (s *modelSender) mayContinueOn(v membership.Server) bool {
	if s.call.received == 0 || s.request.Version != "" {
		return true
	}
	o := schedulerServer(v)
	return s.weights.known && o.HasWeights(s.request.Model, s.request.Adapter, s.weights.version)
}

// errWeights returns the error of a send to an engine that does not have the
// weights which began the answer. Another engine may have them.
func errWeights(server string, opts ...verdict.Option) error {
	return verdict.New(verdict.NotRun, verdict.NoServer, "server "+server+" does not have the weights that began the answer", opts...)
}

package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Workload selects the mix of programs, which is that of one deployment.
type Workload string

// The workloads.
const (
	TailorPaws   Workload = "tailor-paws"
	TroisSillons Workload = "trois-sillons"
)

func (w Workload) valid() bool { return w == TailorPaws || w == TroisSillons }

// Kind is a kind of program, with its own sequence of calls.
type Kind string

// The kinds of program.
const (
	FitProgram          Kind = "fit-program"
	PatternChat         Kind = "pattern-chat"
	KioskLookup         Kind = "kiosk-lookup"
	LibraryConversation Kind = "library-conversation"
)

const (
	maxPatternTurns      = 6
	maxConversationTurns = 88
	// turnDecay is the rate of the exponential distribution of turns. It gives
	// conversations a mean of 8 turns, with few of the longest.
	turnDecay   = 1.0 / 7
	fitShare    = 0.7  // fraction of fit programs in TailorPaws
	lookupShare = 0.85 // fraction of kiosk lookups in TroisSillons
)

// Arrival is one program and its time of arrival after the start of the run.
type Arrival struct {
	At    time.Duration
	Kind  Kind
	Steps []Step
}

// Step is one call of a program: a tool call when Operation is set, and
// otherwise a model call with Content.
type Step struct {
	Pause      time.Duration // before the call
	Content    string
	Operation  string
	Idempotent bool
}

// Plan generates the arrivals of a run in order of time. It depends only on the
// settings.
func Plan(s Settings) []Arrival {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	peak := s.ProgramsPerSecond * max(1, s.CrestFactor)
	var arrivals []Arrival
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at >= s.Duration.D() {
			return arrivals
		}
		// Arrivals of a Poisson process at the peak rate are thinned to the
		// current rate.
		if !s.inCrest(at) && random.Float64()*max(1, s.CrestFactor) > 1 {
			continue
		}
		d := sampler{random: random, meanPause: s.MeanPause.D(), index: n}
		arrivals = append(arrivals, d.program(s.Workload, at))
	}
}

// sampler draws the random steps of one program.
type sampler struct {
	random    *rand.Rand
	meanPause time.Duration
	index     int
}

func (d sampler) program(w Workload, at time.Duration) Arrival {
	a := Arrival{At: at}
	switch {
	case w == TailorPaws && d.random.Float64() < fitShare:
		a.Kind, a.Steps = FitProgram, d.fit()
	case w == TailorPaws:
		a.Kind, a.Steps = PatternChat, d.chat("Scale the pattern.", 1+d.random.IntN(maxPatternTurns))
	case d.random.Float64() < lookupShare:
		a.Kind, a.Steps = KioskLookup, d.lookup()
	default:
		turns := 2 + int(d.random.ExpFloat64()/turnDecay)
		a.Kind, a.Steps = LibraryConversation, d.chat("What about this record?", min(maxConversationTurns, turns))
	}
	a.Steps[0].Pause = 0
	return a
}

func (d sampler) fit() []Step {
	return []Step{
		d.tool("measure", true),
		d.model("Which size fits this dog?"),
		d.tool("scale-pattern", true),
		d.tool("cut-order", false),
		d.model("Write one line to the owner."),
	}
}

func (d sampler) lookup() []Step {
	return []Step{d.model("Which stylus fits this cartridge?"), d.tool("find-stylus", true)}
}

func (d sampler) chat(content string, turns int) []Step {
	steps := make([]Step, turns)
	for i := range steps {
		steps[i] = d.model(content)
	}
	return steps
}

func (d sampler) model(content string) Step {
	return Step{Pause: d.pause(), Content: fmt.Sprintf("%s Note %d: %x", content, d.index, d.random.Uint64())}
}

func (d sampler) tool(operation string, idempotent bool) Step {
	return Step{Pause: d.pause(), Operation: operation, Idempotent: idempotent}
}

func (d sampler) pause() time.Duration {
	return time.Duration(d.random.ExpFloat64() * float64(d.meanPause))
}

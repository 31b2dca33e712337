package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Workload is a mix of programs, named after the deployment that has it.
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
	// conversations a mean of about 8.5 turns, with few of the longest.
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
		draw := sampler{random: random, meanPause: s.MeanPause.D(), index: n}
		arrivals = append(arrivals, draw.program(s.Workload, at))
	}
}

// sampler draws the random steps of one program.
type sampler struct {
	random    *rand.Rand
	meanPause time.Duration
	index     int
}

func (s sampler) program(w Workload, at time.Duration) Arrival {
	a := Arrival{At: at}
	switch {
	case w == TailorPaws && s.random.Float64() < fitShare:
		a.Kind, a.Steps = FitProgram, s.fit()
	case w == TailorPaws:
		a.Kind, a.Steps = PatternChat, s.chat("Scale the pattern.", 1+s.random.IntN(maxPatternTurns))
	case s.random.Float64() < lookupShare:
		a.Kind, a.Steps = KioskLookup, s.lookup()
	default:
		turns := 2 + int(s.random.ExpFloat64()/turnDecay)
		a.Kind, a.Steps = LibraryConversation, s.chat("What about this record?", min(maxConversationTurns, turns))
	}
	a.Steps[0].Pause = 0
	return a
}

func (s sampler) fit() []Step {
	return []Step{
		s.tool("measure", true),
		s.model("Which size fits this dog?"),
		s.tool("scale-pattern", true),
		s.tool("cut-order", false),
		s.model("Write one line to the owner."),
	}
}

func (s sampler) lookup() []Step {
	return []Step{s.model("Which stylus fits this cartridge?"), s.tool("find-stylus", true)}
}

func (s sampler) chat(content string, turns int) []Step {
	steps := make([]Step, turns)
	for i := range steps {
		steps[i] = s.model(content)
	}
	return steps
}

func (s sampler) model(content string) Step {
	return Step{Pause: s.pause(), Content: fmt.Sprintf("%s Note %d: %x", content, s.index, s.random.Uint64())}
}

func (s sampler) tool(operation string, idempotent bool) Step {
	return Step{Pause: s.pause(), Operation: operation, Idempotent: idempotent}
}

func (s sampler) pause() time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(s.meanPause))
}

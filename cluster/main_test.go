package cluster

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/sycamoreline/sycamoreline/faults"
)

// seeded runs the tests with a fixed seed for rapid.
type seeded struct{ *testing.M }

func (m seeded) Run() int { return faults.Main(m.M, faults.RapidDefaults("60", "40")...) }

func TestMain(m *testing.M) { goleak.VerifyTestMain(seeded{m}) }

package engine

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		if err := flag.Set("rapid.seed", "7"); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		code = 1
	}
	os.Exit(code)
}

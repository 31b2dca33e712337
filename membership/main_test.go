package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the property tests repeatable unless a flag says otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	defaults := [][2]string{{"rapid.seed", "20261204"}, {"rapid.checks", "1000"}, {"rapid.steps", "60"}}
	for _, d := range defaults {
		if given[d[0]] {
			continue
		}
		if err := flag.Set(d[0], d[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

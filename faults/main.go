// Package faults has what the tests of several packages share: a fake disk, a
// fake network and the fixed seed of property tests.
package faults

import (
	"flag"
	"fmt"
	"os"
)

// DefaultSeed is the seed of property tests that were given none.
const DefaultSeed = "20261204"

// FlagDefault is the value of a test flag that was not given.
type FlagDefault struct {
	Flag  string
	Value string
}

// RapidDefaults returns the defaults of property tests that need this many cases and
// steps to catch the faults they guard against.
func RapidDefaults(cases, steps string) []FlagDefault {
	return []FlagDefault{{"rapid.checks", cases}, {"rapid.steps", steps}}
}

// Main runs the tests of a package with a fixed seed for rapid and further
// defaults, unless their flags were given. It returns the exit code. Call it
// from TestMain:
//
//	func TestMain(m *testing.M) { os.Exit(faults.Main(m)) }
func Main(m interface{ Run() int }, defaults ...FlagDefault) int {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	setDefault(given, "rapid.seed", DefaultSeed)
	// A failure is reproduced by its seed; failure files would be left behind
	// in the source tree.
	setDefault(given, "rapid.nofailfile", "true")
	for _, d := range defaults {
		setDefault(given, d.Flag, d.Value)
	}
	return m.Run()
}

func setDefault(given map[string]bool, name, value string) {
	if given[name] || flag.Lookup(name) == nil {
		return
	}
	if err := flag.Set(name, value); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

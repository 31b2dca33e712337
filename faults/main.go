// Package faults provides test helpers shared by several packages: an in-memory
// disk and a simulated network with fault injection, and the function Main for
// TestMain, which fixes the seed of property tests. It does not simulate hosts
// or processes; the tests do that themselves.
//
// Start with Disk, Network and Main.
package faults

import (
	"flag"
	"fmt"
	"os"
)

// DefaultSeed is the seed of property tests run without -rapid.seed.
const DefaultSeed = "20261204"

// FlagDefault is the value of a test flag that is not set on the command line.
type FlagDefault struct {
	Flag  string
	Value string
}

// RapidDefaults returns defaults for packages whose property tests need the
// given numbers of cases and steps to detect the faults they guard against.
func RapidDefaults(cases, steps string) []FlagDefault {
	return []FlagDefault{{"rapid.checks", cases}, {"rapid.steps", steps}}
}

// Main runs the tests of a package with a fixed seed for rapid and the given
// defaults, unless the flags are set on the command line. It returns the exit
// code. Call it from TestMain:
//
//	func TestMain(m *testing.M) { os.Exit(faults.Main(m)) }
func Main(m interface{ Run() int }, defaults ...FlagDefault) int {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	setDefault(given, "rapid.seed", DefaultSeed)
	// The seed suffices to reproduce a failure; rapid's failure files would be
	// left in the source tree.
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

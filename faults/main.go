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

// Main runs the tests of a package with a fixed seed for rapid, unless the
// rapid.seed flag was given. It returns the exit code. Call it from TestMain:
//
//	func TestMain(m *testing.M) { os.Exit(faults.Main(m)) }
func Main(m interface{ Run() int }) int {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	setDefault(given, "rapid.seed", DefaultSeed)
	// A failure is reproduced by its seed; failure files would be left behind
	// in the source tree.
	setDefault(given, "rapid.nofailfile", "true")
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

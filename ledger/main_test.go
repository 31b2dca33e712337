package ledger

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flag
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

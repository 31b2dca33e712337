package ledger

import (
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flags that faults.Main sets

	"github.com/sycamoreline/sycamoreline/faults"
)

func TestMain(m *testing.M) { os.Exit(faults.Main(m, faults.RapidDefaults("1000", "60")...)) }

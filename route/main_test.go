package route

import (
	"os"
	"testing"

	"github.com/sycamoreline/sycamoreline/faults"
)

func TestMain(m *testing.M) { os.Exit(faults.Main(m, faults.RapidDefaults("200", "40")...)) }

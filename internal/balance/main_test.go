package balance

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs the generated cases from a fixed seed unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

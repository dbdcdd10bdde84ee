package configsync

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestNextSourceIsElsewhere checks that the second and third source of most daemons
// are in another data centre than the first: when a data centre is cut off, each
// source that doesn't answer costs a daemon a poll or a dial timeout, and a change
// must be in force everywhere within seconds.
func TestNextSourceIsElsewhere(t *testing.T) {
	is := is.New(t)
	var voters []string
	for dataCentre := range 5 {
		for i := range 3 {
			voters = append(voters, fmt.Sprintf("10.%d.0.%d:7560", dataCentre+1, 23+i))
		}
	}
	const daemons = 285
	first, threeAlike := map[string]int{}, 0
	for i := range daemons {
		sources := sourcesOf(config.NewState(), core.VM(fmt.Sprintf("10.%d.0.%d:7560", i%5+1, 40+i/5)), "", "", voters)
		is.Equal(len(sources), len(voters))
		first[sources[0].Address]++
		if sources[0].Address[:5] == sources[1].Address[:5] && sources[1].Address[:5] == sources[2].Address[:5] {
			threeAlike++
		}
	}
	is.True(threeAlike <= daemons/20) // 1 of 91 by chance; all but a few when neighbours follow each other
	for _, n := range first {
		is.True(n <= 3*daemons/len(voters)) // the load is spread
	}
}

package bench_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
	"github.com/comfreynotch/comfreynotch/bench/faketarget"
)

// TestPlannedStopCutsNoRequest checks the promises "a planned stop cuts no
// request" and "archive pulls survive": the daemon first reports that it is not
// ready, completes a long answer that its caller reads slowly, and only then ends.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	const length = 32 << 20
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Deployment{
		DataCentres: []cluster.DataCentre{{Name: "padana-a", VMs: 1}},
		Services: []cluster.Service{{
			Name: "archivio", Keyed: true, Shards: 4, Targets: 1,
			Target: faketarget.Options{Slots: 4, Connections: 120},
		}},
		Workspaces: []cluster.Workspace{{Name: "lab", Rate: 1e6, Burst: 1e6}},
	}, cluster.Options{Folder: t.TempDir()})
	is.NoErr(err)
	vm := c.VMs[0]
	base := "http://" + c.Callers()[0]
	callUntilServed(t, ctx, base+"/archivio/batch-1", c.Secrets["lab"])
	is.Equal(readiness(ctx, base), http.StatusOK)

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/archivio/batch-1?length=33554432", nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+c.Secrets["lab"])
	pull, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.Equal(pull.StatusCode, http.StatusOK)
	ended := make(chan error, 1)
	go func() { ended <- vm.Stop() }()
	for readiness(ctx, base) == http.StatusOK {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(len(ended), 0) // the daemon still runs while the answer is being read
	n, err := io.Copy(io.Discard, pull.Body)
	pull.Body.Close()
	is.NoErr(err)
	is.True(n > length)
	is.NoErr(<-ended)
	is.NoErr(c.Stop())
}

// readiness returns the status of the readiness probe, which the platform's load
// balancer also sees; 0 if there is no answer.
func readiness(ctx context.Context, base string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/-/ready", nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

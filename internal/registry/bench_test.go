package registry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/configjson"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/storage"
)

// BenchmarkRestart measures the time from opening the files to the first confirmed
// read, after 100,000 changes, on the local disk.
func BenchmarkRestart(b *testing.B) {
	files, err := storage.OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	start := func() (*Task, func()) {
		t, err := NewTask(Options{
			Self: "v1", Members: members(1), Bootstrap: bootstrapChange, Files: files, Codec: configjson.Codec{},
			Transport: link{newNetwork(), "v1"}, Seed: 1,
			OnUpdate: func(configsync.Update) {}, OnEvent: func(string, string) {},
		})
		if err != nil {
			b.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- t.Serve(ctx) }()
		if _, err := t.Read(context.Background()); err != nil {
			b.Fatal(err)
		}
		return t, func() { cancel(); <-done }
	}
	t, stop := start()
	const changes, callers = 100_000, 100
	done := make(chan error, callers)
	for c := range callers {
		go func() {
			var failed error
			for i := range changes / callers {
				if _, err := t.Propose(context.Background(), put(fmt.Sprint(c, "-", i), 0, float64(i))); err != nil {
					failed = err
				}
			}
			done <- failed
		}()
	}
	for range callers {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	stop()
	var total time.Duration
	for b.Loop() {
		begin := time.Now()
		t, stop = start()
		total += time.Since(begin)
		if v := t.Current().Version; v != changes+1 {
			b.Fatal(v)
		}
		stop()
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/restart")
}

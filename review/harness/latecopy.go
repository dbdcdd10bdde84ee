package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the disruption "garble", variant "extra late", at its largest dose in the
// site file: a share of the workers adds a copy to a part of its answers.
const (
	garbleShare  = 0.6
	garblePart   = 0.03
	garbleLength = 5 * time.Second
)

// playLateCopy lets workers send a second copy of some answers late, where the next
// answer on the connection is expected, while the workers are busy and reject a request
// now and then. Unsafe requests must run at most once, and must not run if they are
// answered with 503.
func playLateCopy(d *deployment, trouble bool) ([]string, error) {
	const (
		workerCount = 5
		work        = 78 * time.Millisecond // of entrega-muleta
		rate        = 230                   // requests a second; the workers can do 256
		deadline    = 600 * time.Millisecond
		windows     = 9
		pause       = 3 * time.Second
	)
	var garbling atomic.Bool
	var workers []*worker
	for i := range workerCount {
		o := workerOptions{
			id: fmt.Sprintf("i-%d", i+1), service: "lockers", zone: zones[i%len(zones)], ip: "127.0.0.1", slots: 4, queue: 2, sharded: true,
			fullFields: "Retry-After: 0.15\r\n",
			work:       func(*http.Request) time.Duration { return work },
		}
		if float64(i) < garbleShare*workerCount {
			o.extraCopy = func() bool { return garbling.Load() && rand.Float64() < garblePart }
		}
		w, err := startWorker(o, d.record, d.controlAddresses())
		if err != nil {
			return nil, err
		}
		defer w.stop()
		workers = append(workers, w)
	}
	first := firstItems(
		[]tenant{{Name: "clinica", Keys: []string{"key-of-clinica"}, Version: "r1"}},
		[]route{{name: "r-entrega", prefix: "/entrega/", kind: "unsafe", service: "lockers", objectiveMs: 250, timeoutMs: 600}},
		[]service{{name: "lockers", sharded: true}})
	if err := d.settle(first); err != nil {
		return nil, err
	}
	if err := waitKeys(workers, 20*time.Second); err != nil {
		return nil, err
	}
	balancer := startPlatform(d)
	defer balancer.stop()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	requests := make(chan int, 1000) // shard keys
	for i := range 400 {
		clients.Go(func() {
			c := client{record: d.record, connect: func() string { return balancer.route(i) }}
			defer c.close()
			for key := range requests {
				c.send(call{kind: "unsafe", method: http.MethodPost, path: "/entrega/1", key: "key-of-clinica", tenant: "clinica", shard: key, deadline: deadline, body: "drop-off"})
			}
		})
	}
	go func() {
		ticker := time.NewTicker(time.Second / rate)
		defer ticker.Stop()
		defer close(requests)
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				requests <- rand.IntN(keySpace)
			}
		}
	}()
	time.Sleep(3 * time.Second)
	for range windows {
		if trouble {
			garbling.Store(true)
			d.record.note("workers begin to send copies late")
		}
		time.Sleep(garbleLength)
		garbling.Store(false)
		time.Sleep(pause)
	}
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second) // for late runs
	return checkUnsafe(d.record), nil
}

// checkUnsafe returns the breaches of TWICE and REFUSED for unsafe requests.
func checkUnsafe(rec *record) []string {
	var breaches []string
	statuses := map[int]int{}
	refusedByWorkers := 0
	for _, q := range rec.requests() {
		statuses[q.status]++
		if len(q.arrivals) > len(q.runs) {
			refusedByWorkers++
		}
		if q.kind != "unsafe" {
			continue
		}
		if len(q.runs) > 1 {
			breaches = append(breaches, fmt.Sprintf("TWICE: %s ran %d times and was answered %d", q.id, len(q.runs), q.status))
		}
		if len(q.runs) > 0 && (q.status == 503 || q.status == 429 || q.status == 408 || q.status == 421) {
			breaches = append(breaches, fmt.Sprintf("REFUSED: %s was answered %d and ran %d times", q.id, q.status, len(q.runs)))
		}
	}
	rec.note("answers by status (0: none): %v; %d requests were refused by a worker at least once; %d copies were sent", statuses, refusedByWorkers, rec.extras)
	return breaches
}

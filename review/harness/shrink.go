package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// leave lets a worker leave as planned: it reports draining, gives its keys back, goes
// on serving for a while after the acknowledgement, and deregisters.
func (w *worker) leave() error {
	const limit = 10 * time.Second
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.askBeat()
	for deadline := time.Now().Add(limit); w.keysHeld() > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s still holds %d keys", w.id, w.keysHeld())
		}
	}
	time.Sleep(2500 * time.Millisecond) // drain_ms and a little longer
	_, err := newCaller(w.caller.addresses, 0).order("instances.deregister", w.id, encode(map[string]any{"born": w.born}), 4*time.Second)
	w.stop()
	return err
}

// playShrink lets workers of a service leave one after the other, as planned, with
// little load. Afterwards no more than 60 in 100 requests may be refused or fail. It has
// no folder of its own: the report names it with the entry that it shows.
func playShrink(d *deployment, trouble bool) ([]string, error) {
	const (
		workerCount = 12
		staying     = 2
		work        = 5 * time.Millisecond
		clientCount = 60
		deadline    = 1500 * time.Millisecond
		settleTime  = 20 * time.Second
	)
	var workers []*worker
	for i := range workerCount {
		w, err := startWorker(workerOptions{
			id: fmt.Sprintf("i-%d", i+1), service: "archivio", zone: zones[i%len(zones)], ip: "127.0.0.1", slots: 6, queue: 24, sharded: true,
			work: func(*http.Request) time.Duration { return work },
		}, d.record, d.controlAddresses())
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	first := firstItems(
		[]tenant{{Name: "clinica", Keys: []string{"key-of-clinica"}, Version: "r1"}},
		[]route{{name: "r-audit", prefix: "/audit/", kind: "safe", service: "archivio", objectiveMs: 600, timeoutMs: 2500}},
		[]service{{name: "archivio", sharded: true}})
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
	for i := range clientCount {
		clients.Go(func() {
			c := client{record: d.record, connect: func() string { return balancer.route(i) }}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(200 * time.Millisecond)):
				}
				c.send(call{kind: "safe", method: http.MethodGet, path: "/audit/1", key: "key-of-clinica", tenant: "clinica", shard: rand.IntN(keySpace), deadline: deadline})
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for i, w := range workers[:workerCount-staying] {
			if err := w.leave(); err != nil {
				return nil, err
			}
			keys := 0
			for _, other := range workers[i+1:] {
				keys += other.keysHeld()
			}
			d.record.note("%s has left; the %d others hold %d keys", w.id, workerCount-i-1, keys)
		}
	}
	from := time.Now()
	time.Sleep(settleTime)
	keys := 0
	for _, w := range workers {
		keys += w.keysHeld()
	}
	close(stop)
	clients.Wait()
	d.record.note("%d of %d keys are held after %s", keys, keySpace, time.Since(from))
	asked, served := 0, 0
	for _, q := range d.record.requests() {
		if q.sent.After(from) {
			asked++
			if q.status == http.StatusOK {
				served++
			}
		}
	}
	d.record.note("%d of %d requests since then were served", served, asked)
	const mostNotServed = 0.6
	var breaches []string
	if share := float64(asked-served) / float64(max(asked, 1)); share > mostNotServed {
		breaches = append(breaches, fmt.Sprintf("Gate: %.0f in 100 requests were refused or failed; %d of %d keys have an owner", 100*share, keys, keySpace))
	}
	return breaches, nil
}

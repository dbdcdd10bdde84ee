package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// playForeign lets another writer send heartbeats under the ids of two workers, with a
// service that the configuration doesn't name. They name no worker to use, and the
// workers go on as before: no two of them may hold the same keys.
func playForeign(d *deployment, trouble bool) ([]string, error) {
	const (
		workerCount = 4
		work        = 60 * time.Millisecond
		clientCount = 40
		deadline    = 600 * time.Millisecond
		rounds      = 3
	)
	var workers []*worker
	for i := range workerCount {
		w, err := startWorker(workerOptions{
			id: fmt.Sprintf("i-%d", i+1), service: "lockers", zone: zones[i%len(zones)], ip: "127.0.0.1", slots: 4, queue: 16, sharded: true,
			work: func(*http.Request) time.Duration { return work },
		}, d.record, d.controlAddresses())
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
				c.send(call{kind: "unsafe", method: http.MethodPost, path: "/entrega/1", key: "key-of-clinica", tenant: "clinica", shard: rand.IntN(keySpace), deadline: deadline, body: "drop-off"})
			}
		})
	}
	overlaps := watchOverlaps(workers, stop)
	time.Sleep(2 * time.Second)
	other := newCaller(d.controlAddresses(), 0)
	for i := range rounds {
		if trouble {
			w := workers[i%2]
			body := encode(map[string]any{
				"address": w.listener.Addr().String(), "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": "service-that-is-not-named", "version": "v1", "zone": w.zone, "slots": w.slots},
				"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
			})
			for _, address := range d.controlAddresses() {
				status, answer, err := other.attempt(address, "instances.heartbeat", w.id, body)
				d.record.note("a heartbeat of another writer under the id %s gets %d %s %v", w.id, status, answer, err)
				if err == nil && status != http.StatusServiceUnavailable {
					break
				}
			}
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	clients.Wait()
	longest, at := overlaps()
	d.record.note("the longest time in which two workers held the same keys is %s", longest)
	var breaches []string
	if longest > 500*time.Millisecond {
		breaches = append(breaches, fmt.Sprintf("OWNER: two workers held the same keys for %s, until %.3f s", longest, at.Sub(d.record.start).Seconds()))
	}
	return breaches, nil
}

// watchOverlaps looks every few milliseconds for keys that two workers hold. The
// function that it returns waits for the end and gives the longest time in which one
// key had two holders, and its end.
func watchOverlaps(workers []*worker, stop chan struct{}) func() (time.Duration, time.Time) {
	const (
		period  = 10 * time.Millisecond
		samples = 512
	)
	var longest time.Duration
	var longestAt time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		var since [samples]time.Time
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			now := time.Now()
			for i := range samples {
				holders := 0
				for _, w := range workers {
					if w.heldKey(i * (keySpace / samples)) {
						holders++
					}
				}
				switch {
				case holders < 2:
					since[i] = time.Time{}
				case since[i].IsZero():
					since[i] = now
				case now.Sub(since[i]) > longest:
					longest, longestAt = now.Sub(since[i]), now
				}
			}
		}
	}()
	return func() (time.Duration, time.Time) {
		<-done
		return longest, longestAt
	}
}

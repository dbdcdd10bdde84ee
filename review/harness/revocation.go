package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// freezeLength is how long an edge machine stands still. The largest for_s of
// "node_freeze" in the small site files is 7.6.
const freezeLength = 7000 * time.Millisecond

// playRevocation freezes an edge machine, withdraws a key meanwhile, and wakes the
// machine again while clients still send requests with that key. No request that was
// sent later than the bound after the acknowledgement may run.
func playRevocation(d *deployment, trouble bool) ([]string, error) {
	const (
		workerCount = 6
		work        = 60 * time.Millisecond // of busca-retorno
		busyClients = 40                    // of clinica, each of which sends some requests a second
		rareClients = 800                   // of kiosko, each of which sends a request now and then
		longestIdle = 10 * time.Second      // clients reuse connections that were idle for up to 12 s
		// newConnectionOneIn: after one in so many requests a client opens a new connection.
		newConnectionOneIn = 4
		deadline           = 600 * time.Millisecond
		cycles             = 6
		recovery           = 5 * time.Second
	)
	var workers []*worker
	for i := range workerCount {
		w, err := startWorker(workerOptions{
			id: fmt.Sprintf("i-%d", i+1), service: "lockers", zone: zones[i%len(zones)], ip: "127.0.0.1", slots: 4, queue: 16, sharded: true,
			work: func(*http.Request) time.Duration { return work/2 + rand.N(work) },
		}, d.record, d.controlAddresses())
		if err != nil {
			return nil, err
		}
		defer w.stop()
		workers = append(workers, w)
	}
	tenants := []tenant{{Name: "clinica", Keys: []string{"key-that-stays"}, Rate: 2000, Burst: 2000, Version: "r1"}, {Name: "kiosko", Version: "r1", Rate: 2000, Burst: 2000}}
	for i := range cycles {
		tenants[1].Keys = append(tenants[1].Keys, fmt.Sprintf("key-%d", i+1))
	}
	first := firstItems(tenants,
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
	var current atomic.Pointer[string] // the key that is withdrawn next
	current.Store(&tenants[1].Keys[0])
	var clients sync.WaitGroup
	for i := range busyClients + rareClients {
		clients.Go(func() {
			c := client{record: d.record, connect: func() string { return balancer.route(i) }}
			defer c.close()
			idle := 400 * time.Millisecond
			if i >= busyClients {
				idle = longestIdle
			}
			for {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(idle)):
				}
				q := call{kind: "unsafe", method: http.MethodPost, path: "/entrega/1", key: "key-that-stays", tenant: "clinica", shard: rand.IntN(keySpace), deadline: deadline, body: "drop-off"}
				if i >= busyClients {
					q.key, q.tenant = *current.Load(), "kiosko"
				}
				c.send(q)
				if rand.IntN(newConnectionOneIn) == 0 {
					c.close()
				}
			}
		})
	}
	operator := newCaller(d.controlAddresses(), 1)
	type revocation struct{ from, until time.Time }
	var revocations []revocation // times in which requests of kiosko must not run if sent then
	time.Sleep(2 * time.Second)
	for i := range cycles {
		frozen := d.entries[i%len(d.entries)]
		if trouble {
			if err := frozen.signal(syscall.SIGSTOP); err != nil {
				return nil, err
			}
			d.record.note("%s stands still", frozen.name)
		}
		frozenAt := time.Now()
		time.Sleep(1300 * time.Millisecond)
		tenants[1].Keys, tenants[1].Version = tenants[1].Keys[1:], fmt.Sprintf("r%d", i+2)
		acked, err := operator.order("config.patch", "", encode(map[string]any{"upsert": map[string]any{"tenants": tenants[1:]}}), 4*time.Second)
		if err != nil {
			return nil, err
		}
		d.record.note("the removal of %s is acknowledged", *current.Load())
		time.Sleep(time.Until(frozenAt.Add(freezeLength)))
		if trouble {
			if err := frozen.signal(syscall.SIGCONT); err != nil {
				return nil, err
			}
			d.record.note("%s runs again", frozen.name)
		}
		time.Sleep(time.Second)
		revocations = append(revocations, revocation{acked.Add(revokeBound), time.Now()})
		if len(tenants[1].Keys) == 0 {
			break
		}
		current.Store(&tenants[1].Keys[0])
		time.Sleep(recovery - time.Second)
	}
	close(stop)
	clients.Wait()
	time.Sleep(time.Second)
	var breaches []string
	late := 0
	for _, q := range d.record.requests() {
		if q.tenant != "kiosko" {
			continue
		}
		for _, r := range revocations {
			if q.sent.After(r.from) && q.sent.Before(r.until) {
				late++
				if len(q.runs) > 0 {
					breaches = append(breaches, fmt.Sprintf("CONFIG: %s was sent %.3f s after the bound for its key and ran at %s for tenant %q", q.id, q.sent.Sub(r.from).Seconds(), q.runs[0].worker, q.runs[0].tenant))
				}
			}
		}
	}
	d.record.note("%d requests were sent with a key whose bound had passed", late)
	return breaches, nil
}

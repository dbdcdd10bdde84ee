package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploadBytes is below max_body_bytes of the limits, 67,108,864.
	uploadBytes = 60_000_000
	// linkBytesPerSecond is the link of an edge machine, 1,000 Mbit/s, which all
	// uploads share.
	linkBytesPerSecond = 125_000_000
)

// playUploads lets a few clients send long bodies at the same time, within the limits
// of the configuration. The platform ends a process that uses more memory than its
// machine has.
func playUploads(d *deployment, trouble bool) ([]string, error) {
	const (
		workerCount = 6
		work        = 78 * time.Millisecond // of entrega-muleta
		clientCount = 40
		uploads     = 3 // at a time
		rounds      = 4
		deadline    = 600 * time.Millisecond
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
		[]route{
			{name: "r-entrega", prefix: "/entrega/", kind: "unsafe", service: "lockers", objectiveMs: 250, timeoutMs: 600},
			{name: "r-foto", prefix: "/foto/", kind: "unsafe", service: "lockers", objectiveMs: 5000, timeoutMs: 10000},
		},
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
	var kills atomic.Int32
	var guards sync.WaitGroup
	for _, m := range d.entries {
		guards.Go(func() { guardMemory(d, m, stop, &kills) })
	}
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
	time.Sleep(2 * time.Second)
	size := uploadBytes
	if !trouble {
		size = 10_000
	}
	for range rounds {
		var sending sync.WaitGroup
		for i := range uploads {
			sending.Go(func() { upload(d.record, d.entries[0].address(d.frontPort), i, size, linkBytesPerSecond/uploads) })
		}
		sending.Wait()
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	guards.Wait()
	time.Sleep(time.Second)
	lost := 0
	for _, q := range d.record.requests() {
		if len(q.runs) > 0 && q.cut {
			lost++
			d.record.note("the connection of %s was closed without an answer after it had run at %s", q.id, q.runs[0].worker)
		}
	}
	d.record.note("%d processes ended for their memory, %d requests on kept connections got no answer", kills.Load(), lost)
	var breaches []string
	if lost > 3 {
		breaches = append(breaches, fmt.Sprintf("LOST: %d requests were passed on to sound workers and their connections closed without an answer; the process used more than %d MB %d times", lost, entryMemoryMB, kills.Load()))
	}
	return breaches, nil
}

// guardMemory ends the process of a machine when it uses more memory than the machine
// has, as the platform does, and starts it again.
func guardMemory(d *deployment, m *machine, stop chan struct{}, kills *atomic.Int32) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	peak := 0
	for {
		select {
		case <-stop:
			d.record.note("%s used up to %d MB", m.name, peak)
			return
		case <-ticker.C:
		}
		used := m.residentMB()
		peak = max(peak, used)
		if used <= entryMemoryMB {
			continue
		}
		d.record.note("%s uses %d MB of %d and is ended", m.name, used, entryMemoryMB)
		kills.Add(1)
		m.mu.Lock()
		ended := m.ended
		m.mu.Unlock()
		_ = m.signal(syscall.SIGKILL) // it may have ended by itself
		<-ended
		time.Sleep(500 * time.Millisecond)
		if err := d.start(m); err != nil {
			d.record.note("%s does not start: %v", m.name, err)
			return
		}
	}
}

// upload sends one request with a long body, at most at the given rate.
func upload(rec *record, address string, i, size, bytesPerSecond int) {
	id := newAttemptID()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	rec.send(id, "unsafe", "clinica")
	rec.note("%s begins to send a body of %d bytes", id, size)
	head := fmt.Sprintf("POST /foto/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 10000\r\nAuthorization: Bearer key-of-clinica\r\nX-Shard-Key: %d\r\nContent-Length: %d\r\n\r\n",
		hostName, id, i*10000, size)
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	const piece = 256 << 10
	start, sent := time.Now(), 0
	for data := strings.Repeat("x", piece); sent < size; {
		n, err := io.WriteString(conn, data[:min(piece, size-sent)])
		if err != nil {
			rec.note("%s could send %d bytes: %v", id, sent, err)
			return
		}
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / float64(bytesPerSecond) * float64(time.Second)))))
	}
	answer := make([]byte, 12)
	_, err = io.ReadFull(conn, answer)
	rec.note("%s gets %q, %v", id, answer, err)
}

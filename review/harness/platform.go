package main

import (
	"sync"
	"time"
)

// platform is a stand-in for the platform's load balancer in front of the edge
// machines of one zone.
type platform struct {
	d       *deployment
	stopped chan struct{}

	mu     sync.Mutex
	misses map[*machine]int
}

const (
	readinessPeriod = time.Second
	missesToLeave   = 2 // after which a machine gets no new connections
)

func startPlatform(d *deployment) *platform {
	p := &platform{d: d, stopped: make(chan struct{}), misses: map[*machine]int{}}
	for _, m := range d.entries {
		go p.watch(m)
	}
	return p
}

func (p *platform) stop() { close(p.stopped) }

func (p *platform) watch(m *machine) {
	ticker := time.NewTicker(readinessPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopped:
			return
		case <-ticker.C:
		}
		ready := p.d.ready(m)
		p.mu.Lock()
		p.misses[m]++
		if ready {
			p.misses[m] = 0
		}
		p.mu.Unlock()
	}
}

// route returns the address for a new connection of a client. If fewer than half of
// the machines are in rotation, all are used.
func (p *platform) route(client int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var inRotation []*machine
	for _, m := range p.d.entries {
		if p.misses[m] < missesToLeave {
			inRotation = append(inRotation, m)
		}
	}
	if 2*len(inRotation) < len(p.d.entries) {
		inRotation = p.d.entries
	}
	return inRotation[client%len(inRotation)].address(p.d.frontPort)
}

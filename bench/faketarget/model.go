package faketarget

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/routing"
)

// Options configure one fake target.
type Options struct {
	ID          string
	Service     string
	DataCentre  string
	Slots       int
	Connections int           // announced limit of connections; 0: defaultConnections
	Daemons     []string      // host:port of the daemons' listeners for targets
	ServiceTime time.Duration // of one request, without overload
	Advertise   string        // announced host:port; empty: the bound one

	ChecksFence    bool          // refuse requests and grants with an outdated fence
	Shards         uint32        // shards of the service; 0: requests are not checked by shard
	ConnectionCost time.Duration // delay in accepting each connection
	WarmUp         time.Duration // cold start: time in which capacity grows from ColdSlots to Slots
	ColdSlots      int           // concurrent requests at the start of a cold start; 0: 1
	ShedsCold      bool          // during a cold start, reject excess requests; else collapse
	ShedsFull      bool          // reject requests above Slots; else serve them more slowly
	StartsWarm     bool          // the first incarnation has no cold start
}

// collapseFactor multiplies the service time of a request that exceeds the
// capacity of a cold fake target.
const collapseFactor = 10

const defaultConnections = 120

// Run is one execution of a request.
type Run struct {
	Target            core.TargetID
	Service           core.Service
	RequestID         core.RequestID
	IdempotencyKey    string
	Workspace         core.Workspace
	Key               string
	Fence             core.Fence
	Body              string
	CallID            string // the caller's number of the call, from HeaderCallID
	Incarnation       core.Incarnation
	Start             time.Time
	End               time.Time // zero while it runs
	ReceivedCallerKey bool      // the caller's credential was wrongly passed on to the target
	Cancelled         bool      // the connection closed before the answer
}

// Counts are the counters of one fake target.
type Counts struct {
	Runs             int
	Shed             int // requests answered "not run" because of overload
	Refused          int // requests answered "not run" because of their fence or a missing grant
	MaxInFlight      int
	OverSlots        int // requests that arrived when all slots were in use
	OverColdCapacity int // requests that arrived when the capacity of a cold start was in use
	Connections      int // currently open
	MaxConnections   int // most connections open at once
	Collapses        int // cold starts that began again because of overload
}

// AnswerFault is a fault that is injected into an answer.
type AnswerFault uint8

// The faults of an answer.
const (
	AnswerIntact        AnswerFault = iota
	AnswerDelayed                   // delayed by the configured time
	AnswerWithEarlierID             // carries the request id of an earlier request
	AnswerTruncated                 // half of the body, then the connection closes
	AnswerDoubled                   // written twice on its connection
	AnswerMislabeled                // carries a request id that was never used
	AnswerLost                      // the request runs, then the connection closes without an answer
)

// verdict is the model's decision on a request that arrives.
type verdict struct {
	run         int  // index in model.runs
	refused     bool // because of the fence or a missing grant
	shed        bool // because of overload
	unanswered  bool // send no answer
	serviceTime time.Duration
	fault       AnswerFault
	delay       time.Duration  // for AnswerDelayed
	earlierID   core.RequestID // for AnswerWithEarlierID
}

// model is the state of one fake target, apart from its sockets.
type model struct {
	options      Options
	incarnation  core.Incarnation
	draining     bool
	coldSince    time.Time   // start of the cold start; zero: warm
	slowdown     float64     // factor on the service time; 0: 1
	reportedLoad int         // requests in flight to report; negative: report the actual number
	fault        AnswerFault // injected into the next faultsLeft answers
	faultsLeft   int
	delay        time.Duration // for AnswerDelayed
	inFlight     int
	runs         []Run
	counts       Counts
	grants       *grants
	connections  map[connection]bool // open connections; true: never answered again
}

// connection is the serial number of a connection that one fake target accepted.
type connection uint64

func newModel(o Options, now time.Time) *model {
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	o.ColdSlots = max(o.ColdSlots, 1)
	return &model{
		options: o, incarnation: 1, reportedLoad: -1,
		grants:      newGrants(core.TargetID(o.ID), o.ChecksFence, now),
		connections: map[connection]bool{},
	}
}

// clockMs returns the time on the fake target's monotonic clock, in milliseconds.
// It is at least 1, as 0 stands for no time in a GrantOrder.
func (m *model) clockMs(now time.Time) int64 { return max(1, now.Sub(m.grants.began).Milliseconds()) }

// capacity returns the number of concurrent requests that the fake target sustains at
// now: during a cold start it grows linearly from ColdSlots to Slots.
func (m *model) capacity(now time.Time) int {
	if m.coldSince.IsZero() || m.options.WarmUp <= 0 {
		return m.options.Slots
	}
	passed := now.Sub(m.coldSince)
	if passed >= m.options.WarmUp {
		m.coldSince = time.Time{}
		return m.options.Slots
	}
	grown := float64(m.options.Slots-m.options.ColdSlots) * float64(passed) / float64(m.options.WarmUp)
	return m.options.ColdSlots + int(grown)
}

// begin decides what happens to a request that arrives on connection c at now.
func (m *model) begin(c connection, r Run, now time.Time) verdict {
	if m.connections[c] {
		return verdict{unanswered: true}
	}
	if m.refuses(r, now) {
		m.counts.Refused++
		return verdict{refused: true}
	}
	capacity := m.capacity(now)
	serviceTime := m.serviceTime()
	switch {
	case m.inFlight >= m.options.Slots:
		m.counts.OverSlots++
		if m.options.ShedsFull {
			m.counts.Shed++
			return verdict{shed: true}
		}
		serviceTime += serviceTime * time.Duration(m.inFlight-m.options.Slots+1) / time.Duration(m.options.Slots)
	case m.inFlight >= capacity:
		m.counts.OverColdCapacity++
		if m.options.ShedsCold {
			m.counts.Shed++
			return verdict{shed: true}
		}
		m.counts.Collapses++
		m.coldSince = now
		serviceTime *= collapseFactor
	}
	return m.admit(r, serviceTime, now)
}

// runAbandoned records a request whose client disconnected while the fake target was
// frozen. It still runs, as it would in a process that reads its socket after a
// pause.
func (m *model) runAbandoned(r Run, now time.Time) {
	if m.refuses(r, now) {
		m.counts.Refused++
		return
	}
	r.Start, r.End, r.Incarnation, r.Cancelled = now, now, m.incarnation, true
	m.counts.Runs++
	m.runs = append(m.runs, r)
}

// refuses reports whether the fence or the grants forbid the run of a request.
func (m *model) refuses(r Run, now time.Time) bool {
	if m.options.Shards == 0 || r.Key == "" {
		return false
	}
	return !m.grants.allows(r.Service, routing.Shard(r.Key, m.options.Shards), r.Fence, now)
}

// serviceTime returns the service time of a request without overload.
func (m *model) serviceTime() time.Duration {
	if m.slowdown > 0 {
		return time.Duration(float64(m.options.ServiceTime) * m.slowdown)
	}
	return m.options.ServiceTime
}

// admit records the start of a request and chooses the fault of its answer.
func (m *model) admit(r Run, serviceTime time.Duration, now time.Time) verdict {
	v := verdict{run: len(m.runs), serviceTime: serviceTime, delay: m.delay}
	if m.faultsLeft > 0 {
		m.faultsLeft--
		v.fault = m.fault
	}
	if len(m.runs) > 0 {
		v.earlierID = m.runs[len(m.runs)-1].RequestID
	}
	m.inFlight++
	m.counts.Runs++
	m.counts.MaxInFlight = max(m.counts.MaxInFlight, m.inFlight)
	r.Start, r.Incarnation = now, m.incarnation
	m.runs = append(m.runs, r)
	return v
}

// end records the end of a run.
func (m *model) end(run int, cancelled bool, now time.Time) {
	m.runs[run].End, m.runs[run].Cancelled = now, cancelled
	m.inFlight--
}

// restart simulates a new process: a new incarnation in a cold start and without
// grants.
func (m *model) restart(now time.Time) {
	m.incarnation++
	m.draining = false
	m.beginColdStart(now)
	m.grants.restart(now)
}

// beginColdStart begins a beginColdStart start without a new process.
func (m *model) beginColdStart(now time.Time) {
	if m.options.WarmUp > 0 {
		m.coldSince = now
	}
}

func (m *model) connected(c connection) {
	m.connections[c] = false
	m.counts.MaxConnections = max(m.counts.MaxConnections, len(m.connections))
}

// hangConnections makes the fake target never answer again on any open connection.
func (m *model) hangConnections() {
	for c := range m.connections {
		m.connections[c] = true
	}
}

// Load is the load report, whose InFlight may be set to a false value.
type Load struct {
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Cold     bool `json:"cold"`
}

func (m *model) load(now time.Time) Load {
	if m.reportedLoad >= 0 {
		return Load{InFlight: m.reportedLoad}
	}
	return Load{InFlight: m.inFlight, Cold: m.capacity(now) < m.options.Slots}
}

func (m *model) summary() Counts {
	c := m.counts
	c.Connections = len(m.connections)
	return c
}

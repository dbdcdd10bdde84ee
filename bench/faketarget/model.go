package faketarget

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/routing"
)

// Options describe one stand-in.
type Options struct {
	ID          string
	Service     string
	DataCentre  string
	Slots       int
	Connections int           // announced; 0: 120
	Daemons     []string      // targets' listeners of daemons, host:port
	Work        time.Duration // time that one request takes
	Advertise   string        // host:port announced; empty: the bound one

	ChecksFence    bool   // refuse requests and grants with an old fence
	Shards         uint32 // of the service; 0: requests are not checked by shard
	ConnectionCost time.Duration
	WarmUp         time.Duration // cold start: the ramp from ColdSlots to Slots
	ColdSlots      int           // requests at once that the first moment bears; 0: 1
	ShedsCold      bool          // a cold stand-in sheds what is above its ramp; else it collapses
	ShedsFull      bool          // sheds what is above its slots; else it serves slower
	StartsWarm     bool          // the first incarnation needs no warm-up
}

// collapseFactor slows each request that a cold stand-in takes above its ramp.
const collapseFactor = 10

const defaultConnections = 120

// Run is one execution of a request.
type Run struct {
	Target         core.TargetID
	Service        core.Service
	RequestID      core.RequestID
	IdempotencyKey string
	Workspace      core.Workspace
	Key            string
	Fence          core.Fence
	Body           string
	CallID         string // of the caller, from HeaderCallID
	Incarnation    core.Incarnation
	Start          time.Time
	End            time.Time // zero while it runs
	SawCallerKey   bool      // the caller's credential reached the target
	Cancelled      bool      // the connection closed before the answer
}

// Counts sums up what happened at one stand-in.
type Counts struct {
	Runs          int
	Shed          int // answered "not run" for load
	Refused       int // answered "not run" for the fence or the grant
	MostInFlight  int
	OverSlots     int // begun above the slots
	OverRamp      int // begun above the ramp of a cold start
	Connections   int // open now
	MostConnected int
	Collapses     int // the warm-up began anew under too much work
}

// AnswerFault is what goes wrong with an answer.
type AnswerFault uint8

// The faults of an answer.
const (
	AnswerWhole      AnswerFault = iota
	AnswerLate                   // after LateBy
	AnswerCrossed                // id and body of an earlier request
	AnswerCut                    // half of the body, then the connection closes
	AnswerDoubled                // written twice on its connection
	AnswerMislabeled             // the body of this request under another id
	AnswerLost                   // runs, then the connection closes without an answer
)

// verdict is the model's answer to a request that arrives.
type verdict struct {
	run     int // index of the run
	refused bool
	shed    bool
	silent  bool // this connection is never answered again
	work    time.Duration
	fault   AnswerFault
	lateBy  time.Duration
	crossed core.RequestID // of an earlier request, for crossed answers
}

// model is the state of one stand-in: everything but its sockets.
type model struct {
	options     Options
	incarnation core.Incarnation
	leaving     bool
	coldSince   time.Time // zero: warm
	straggle    float64   // factor on the work; 0 reads as 1
	loadLie     int       // reported in flight; negative: the truth
	fault       AnswerFault
	faultsLeft  int
	lateBy      time.Duration
	inFlight    int
	runs        []Run
	counts      Counts
	grants      *grants
	connections map[connection]bool // true: silent for good
}

// connection numbers the accepted connections of one stand-in.
type connection uint64

func newModel(o Options, now time.Time) *model {
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	o.ColdSlots = max(o.ColdSlots, 1)
	return &model{
		options: o, incarnation: 1, loadLie: -1,
		grants:      newGrants(core.TargetID(o.ID), o.ChecksFence, now),
		connections: map[connection]bool{},
	}
}

// clockMs is the stand-in's monotonic clock in milliseconds, above 0.
func (m *model) clockMs(now time.Time) int64 { return max(1, now.Sub(m.grants.began).Milliseconds()) }

// ramp is the number of requests at once that the stand-in bears at now.
func (m *model) ramp(now time.Time) int {
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

// begin decides what happens to a request that arrives at now.
func (m *model) begin(c connection, r Run, now time.Time) verdict {
	if m.connections[c] {
		return verdict{silent: true}
	}
	if m.refuses(r, now) {
		m.counts.Refused++
		return verdict{refused: true}
	}
	ramp := m.ramp(now)
	work := m.work()
	switch {
	case m.inFlight >= m.options.Slots:
		m.counts.OverSlots++
		if m.options.ShedsFull {
			m.counts.Shed++
			return verdict{shed: true}
		}
		work += work * time.Duration(m.inFlight-m.options.Slots+1) / time.Duration(m.options.Slots)
	case m.inFlight >= ramp:
		m.counts.OverRamp++
		if m.options.ShedsCold {
			m.counts.Shed++
			return verdict{shed: true}
		}
		m.counts.Collapses++
		m.coldSince = now
		work *= collapseFactor
	}
	return m.admit(r, work, now)
}

// runUnseen records a request whose sender left while the stand-in was frozen:
// it runs, as it does at a process that reads its socket after a pause.
func (m *model) runUnseen(r Run, now time.Time) {
	if m.refuses(r, now) {
		m.counts.Refused++
		return
	}
	r.Start, r.End, r.Incarnation, r.Cancelled = now, now, m.incarnation, true
	m.counts.Runs++
	m.runs = append(m.runs, r)
}

func (m *model) refuses(r Run, now time.Time) bool {
	if m.options.Shards == 0 || r.Key == "" {
		return false
	}
	return !m.grants.allows(r.Service, routing.Shard(r.Key, m.options.Shards), r.Fence, now)
}

func (m *model) work() time.Duration {
	if m.straggle > 0 {
		return time.Duration(float64(m.options.Work) * m.straggle)
	}
	return m.options.Work
}

func (m *model) admit(r Run, work time.Duration, now time.Time) verdict {
	v := verdict{run: len(m.runs), work: work, lateBy: m.lateBy}
	if m.faultsLeft > 0 {
		m.faultsLeft--
		v.fault = m.fault
	}
	if len(m.runs) > 0 {
		v.crossed = m.runs[len(m.runs)-1].RequestID
	}
	m.inFlight++
	m.counts.Runs++
	m.counts.MostInFlight = max(m.counts.MostInFlight, m.inFlight)
	r.Start, r.Incarnation = now, m.incarnation
	m.runs = append(m.runs, r)
	return v
}

// end closes a run.
func (m *model) end(run int, cancelled bool, now time.Time) {
	m.runs[run].End, m.runs[run].Cancelled = now, cancelled
	m.inFlight--
}

// restart is a new process: cold, with no grants and no connections.
func (m *model) restart(now time.Time) {
	m.incarnation++
	m.leaving = false
	m.cold(now)
	m.grants.restart(now)
}

// cold falls back into cold start without a new process.
func (m *model) cold(now time.Time) {
	if m.options.WarmUp > 0 {
		m.coldSince = now
	}
}

func (m *model) connected(c connection) {
	m.connections[c] = false
	m.counts.MostConnected = max(m.counts.MostConnected, len(m.connections))
}

// silence makes every open connection silent for good.
func (m *model) silence() {
	for c := range m.connections {
		m.connections[c] = true
	}
}

// Load is the load report, which may lie.
type Load struct {
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Cold     bool `json:"cold"`
}

func (m *model) load(now time.Time) Load {
	if m.loadLie >= 0 {
		return Load{InFlight: m.loadLie}
	}
	return Load{InFlight: m.inFlight, Cold: m.ramp(now) < m.options.Slots}
}

func (m *model) summary() Counts {
	c := m.counts
	c.Connections = len(m.connections)
	return c
}

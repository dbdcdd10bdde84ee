// Package spread distributes the requests of services without keys over the
// daemons that dispatch their targets, by the load that those daemons report with
// their answers. Decisions: spread.go. Task: task.go, which owns the reports and
// publishes views of them.
package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Load is the ratio of a dispatcher's in-flight and waiting requests to the
// capacity of its targets, in thousandths. From Full on, new requests wait.
type Load uint32

// Full is the load of a dispatcher whose slots are all in use.
const Full Load = 1000

// reportTTL is how long a report is valid. After that the dispatcher counts as
// idle, so that it receives requests again and reports its load.
const reportTTL = time.Second

type source struct {
	vm      core.VM
	service core.Service
}

type report struct {
	load Load
	at   time.Time
}

// View holds the dispatchers and their reported load at one time. It is immutable.
type View struct {
	dispatchers map[core.Service][]core.VM // sorted
	reports     map[source]report
}

// NewView returns a view without dispatchers.
func NewView() *View { return &View{} }

// WithTable returns a view with the dispatchers in t and the reports of v.
// Draining targets do not count.
func (v *View) WithTable(t *cell.Table) *View {
	next := &View{dispatchers: map[core.Service][]core.VM{}, reports: v.reports}
	for _, e := range t.Targets {
		name := e.Target.Service
		if !e.Target.Draining && !slices.Contains(next.dispatchers[name], e.Dispatcher) {
			next.dispatchers[name] = append(next.dispatchers[name], e.Dispatcher)
		}
	}
	for _, vms := range next.dispatchers {
		slices.Sort(vms)
	}
	return next
}

// withReports returns a view with newer reports, without the expired ones.
func (v *View) withReports(newer map[source]report, now time.Time) *View {
	next := &View{dispatchers: v.dispatchers, reports: maps.Clone(v.reports)}
	if next.reports == nil {
		next.reports = map[source]report{}
	}
	maps.DeleteFunc(next.reports, func(_ source, r report) bool { return now.Sub(r.at) >= reportTTL })
	maps.Copy(next.reports, newer)
	return next
}

// Dispatches reports whether vm dispatches targets of the service.
func (v *View) Dispatches(vm core.VM, service core.Service) bool {
	return slices.Contains(v.dispatchers[service], vm)
}

// Load returns the load that vm reported last, or 0 without a valid report.
func (v *View) Load(vm core.VM, service core.Service, now time.Time) Load {
	r := v.reports[source{vm, service}]
	if now.Sub(r.at) >= reportTTL {
		return 0
	}
	return r.load
}

// Choose returns the less loaded of two random dispatchers of the service other
// than self (power of two choices, Mitzenmacher 2001), or false if there is none.
func (v *View) Choose(self core.VM, service core.Service, now time.Time, random uint64) (core.VM, bool) {
	all := v.dispatchers[service]
	n := len(all)
	own, found := slices.BinarySearch(all, self)
	if found {
		n--
	}
	if n == 0 {
		return "", false
	}
	pick := func(r uint32) core.VM {
		i := int(r % uint32(n))
		if found && i >= own {
			i++
		}
		return all[i]
	}
	a, b := pick(uint32(random)), pick(uint32(random>>32))
	if v.Load(b, service, now) < v.Load(a, service, now) {
		return b, true
	}
	return a, true
}

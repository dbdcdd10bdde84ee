// Package quota keeps each workspace within its rate and burst, counted over
// all VMs together, by handing tokens down a tree: the system's source, each
// cell's source, each daemon. A token leaves a bucket once and is spent when it
// does, so that lost messages, restarts and changes of a holder can waste tokens
// and never double them.
//
// Decisions: bucket.go (token bucket), source.go (answers draws from below),
// admission.go (requests that wait for a token), share.go (the durable division
// of a rate over cells), meter.go (demand). Task: task.go and task_draw.go, one
// goroutine that owns this daemon's admission and, while this daemon is
// coordinator or leader, the sources.
package quota

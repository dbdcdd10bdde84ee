// Package quota limits each workspace to its rate and burst, counted over all
// VMs together. Tokens are distributed down a tree: the system's source at the
// registry's leader, a source at each cell's coordinator, and each daemon. Every
// level draws the tokens that it lacks from the level above. A token is removed
// from its bucket before it is sent, so that lost messages, restarts and changes
// of leader or coordinator can waste tokens but never duplicate them.
//
// Each cell has a floor, a reserved part of every workspace's rate and burst, so
// that it can admit requests while it is partitioned from the leader. As long as
// it is connected, it lends the part that it does not need to the system's
// source, for a limited time.
//
// Decisions: bucket.go (token bucket), source.go (answers draws from the level
// below), admission.go (requests that wait for a token), share.go (division of a
// rate over cells), loan.go (loans between cells and the system), floor.go
// (activation of the floors of new cells), meter.go (estimated demand), draw.go
// (arithmetic on draws). Task: task.go and task_draw.go, one goroutine that owns
// this daemon's admission and, while this daemon is coordinator or leader, the
// sources.
package quota

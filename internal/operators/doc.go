// Package operators serves the operators' API of api/operators.proto. It
// authenticates the callers, validates their requests, forwards them to the
// tasks that own the state, and encodes the answers. Package health decides
// whether a daemon is ready and which problems its status reports.
package operators

// Package operators is the operators' edge: it authenticates operators, turns
// the calls of api/operators.proto into messages to the tasks, and their answers
// back. What it shows of a daemon's state is decided in package health.
package operators

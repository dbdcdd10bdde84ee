// Package shape holds tests for the structure of the code base. It has no other
// code.
package shape

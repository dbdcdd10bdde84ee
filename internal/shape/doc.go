// Package shape holds the tests of the code's shape; it has no code of its own.
package shape

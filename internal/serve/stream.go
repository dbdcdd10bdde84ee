package serve

import "io"

// closeThen runs after when the stream is closed.
type closeThen struct {
	io.ReadCloser
	after func()
}

func (c closeThen) Close() error {
	err := c.ReadCloser.Close()
	c.after()
	return err
}

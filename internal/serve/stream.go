package serve

import "io"

// streamWithCleanup calls cleanup after the stream is closed.
type streamWithCleanup struct {
	io.ReadCloser
	cleanup func()
}

func (c streamWithCleanup) Close() error {
	err := c.ReadCloser.Close()
	c.cleanup()
	return err
}

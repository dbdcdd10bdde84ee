// Command comfreynotch is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], cli.Env{
		Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now, Token: os.Getenv("COMFREYNOTCH_TOKEN"),
	})
	stop()
	os.Exit(code)
}

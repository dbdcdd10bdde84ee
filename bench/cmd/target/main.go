// Command target runs one simulated target in the foreground. It announces itself
// to daemons, accepts grants and answers requests.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
)

func main() {
	o := faketarget.Options{StartsWarm: true}
	flag.StringVar(&o.ID, "id", "t1", "name of the target")
	flag.StringVar(&o.Service, "service", "archivio", "its service")
	flag.StringVar(&o.DataCentre, "data-centre", "local", "its data centre")
	flag.IntVar(&o.Slots, "slots", 6, "requests at once")
	flag.BoolVar(&o.ChecksFence, "checks-fence", false, "refuse orders with an old fence")
	flag.DurationVar(&o.ServiceTime, "work", 0, "time that one request takes")
	daemons := flag.String("daemons", "127.0.0.1:7801", "targets' listeners of daemons, with commas between")
	flag.Parse()
	o.Daemons = strings.Split(*daemons, ",")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "target:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o faketarget.Options) error {
	t, err := faketarget.New(o)
	if err != nil {
		return err
	}
	return t.Run(ctx)
}

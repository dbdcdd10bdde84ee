// Command harness plays the cases of the review: it starts the project's programs as
// processes on loopback addresses, with stand-ins for clients, workers, the operator
// and the platform, and checks one rule.
//
// Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
// run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// theCase is one case of the review. play returns the breaches of its rule.
type theCase struct {
	controls, entries int
	play              func(d *deployment, trouble bool) (breaches []string, err error)
}

var cases = map[string]theCase{
	"late-copy":  {controls: 3, entries: 8, play: playLateCopy},
	"foreign":    {controls: 3, entries: 2, play: playForeign},
	"revocation": {controls: 3, entries: 2, play: playRevocation},
	"uploads":    {controls: 3, entries: 2, play: playUploads},
	"shrink":     {controls: 3, entries: 2, play: playShrink},
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	code, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	}
	os.Exit(code)
}

func run(name, folder string, trouble bool) (int, error) {
	c, ok := cases[name]
	if !ok {
		return exitNotRun, errors.New("no case is named " + name)
	}
	rec := newRecord()
	d, err := newDeployment(rec, c.controls, c.entries)
	if err != nil {
		return exitNotRun, err
	}
	defer d.stopAll()
	rec.note("case %s, trouble %v, %d core and %d edge machines", name, trouble, c.controls, c.entries)
	breaches, err := c.play(d, trouble)
	for _, b := range breaches {
		rec.note("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if err != nil {
		rec.note("the case couldn't run: %v", err)
	}
	if writeErr := rec.write(filepath.Join(folder, "record.txt")); writeErr != nil {
		return exitNotRun, writeErr
	}
	switch {
	case err != nil:
		return exitNotRun, err
	case len(breaches) > 0:
		return exitBroken, nil
	}
	fmt.Println("held")
	return exitHeld, nil
}

// settle starts all machines, sends the first configuration, and waits until the edge
// machines are ready.
func (d *deployment) settle(first []byte) error {
	if err := d.startAll(); err != nil {
		return err
	}
	at, err := newCaller(d.controlAddresses(), 0).order("config.patch", "", first, 20*time.Second)
	if err != nil {
		return err
	}
	d.record.note("the first configuration is acknowledged after %.3f s", at.Sub(d.record.start).Seconds())
	return d.waitReady(20 * time.Second)
}

// waitKeys waits until workers hold all keys of a service.
func waitKeys(workers []*worker, limit time.Duration) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		keys := 0
		for _, w := range workers {
			keys += w.keysHeld()
		}
		if keys == keySpace {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d keys are held", keys, keySpace)
		}
	}
}
